#ifndef LIMPETFALL_REVIEW_STAND_INS_GATEWAYS_H_
#define LIMPETFALL_REVIEW_STAND_INS_GATEWAYS_H_

#include <sys/types.h>

#include <string>
#include <vector>

namespace limpetfall::review {

/** A free part 127.X.Y of the loopback range; addresses of a case are `Address(host, port)`. */
class Subnet {
 public:
  static Subnet Pick();

  [[nodiscard]] std::string Ip(int host) const { return this->prefix + std::to_string(host); }
  [[nodiscard]] std::string Address(int host, int port) const {
    return this->Ip(host) + ":" + std::to_string(port);
  }

 private:
  explicit Subnet(std::string text) : prefix(std::move(text)) {}

  std::string prefix;
};

/** One gateway process, started with the command and the settings template of the deploy file. */
class Gateway {
 public:
  struct Spec {
    std::string name;
    std::string zone;
    std::string ip;
    std::string platform_address;
    std::vector<std::string> seeds;
    bool first_start = true;
  };

  /** Writes the settings and the log of the process into `folder`. */
  Gateway(Spec settings, std::string folder);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  void Start();
  void Signal(int signal) const;

  /** Returns whether the process has ended. */
  [[nodiscard]] bool HasEnded();

  [[nodiscard]] const std::string& name() const { return this->spec.name; }
  [[nodiscard]] const std::string& zone() const { return this->spec.zone; }
  [[nodiscard]] std::string CallerAddress() const { return this->spec.ip + ":8227"; }
  [[nodiscard]] std::string ReadyAddress() const { return this->spec.ip + ":8220"; }
  [[nodiscard]] std::string DirectoryAddress() const { return this->spec.ip + ":8224"; }

 private:
  Spec spec;
  std::string work_folder;
  pid_t child = -1;
};

}  // namespace limpetfall::review

#endif  // LIMPETFALL_REVIEW_STAND_INS_GATEWAYS_H_
