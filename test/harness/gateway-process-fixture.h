#ifndef LIMPETFALL_TEST_HARNESS_GATEWAY_PROCESS_FIXTURE_H_
#define LIMPETFALL_TEST_HARNESS_GATEWAY_PROCESS_FIXTURE_H_

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "harness/gateway-fixture.h"
#include "harness/process.h"

namespace limpetfall::testing {

/** Real gateway processes in front of the `FakeDeployment` of the test. */
class GatewayProcessFixture : public GatewayFixture {
 public:
  void setUp() override {
    GatewayFixture::setUp();
    this->folder = std::filesystem::temp_directory_path() /
                   ("gateway-process-test-" + std::to_string(getpid()));
    std::filesystem::create_directories(this->folder);
  }

  void tearDown() override {
    this->processes.clear();
    this->held_ports.clear();
    std::filesystem::remove_all(this->folder);
    this->io->DropPending();
    GatewayFixture::tearDown();
  }

 protected:
  [[nodiscard]] std::string LeaderNode() const {
    const std::string value = this->deployment->Get("limpetfall/leader");
    return value.substr(0, value.find(' '));
  }

  /** Starts gateway processes and waits until all groups are open. Requests go to the first one. */
  void StartProcesses(int count) {
    this->deployment->Put("op/config", ConfigJson(5, R"("k1")"));
    const std::string peer_port = PortOf(FreeAddress());
    for (int i = 0; i < count; ++i) {
      const std::string ip = "127.0.0." + std::to_string(i + 1);
      const std::string name = "p" + std::to_string(i);
      const std::string settings_path = (this->folder / (name + ".toml")).string();
      const std::string caller = FreeAddress(ip);
      std::ofstream(settings_path)
          << "[node]\nid = \"" << name << "\"\nzone = \"z1\"\nip = \"" << ip
          << "\"\ncaller_address = \"" << caller
          << "\"\nfirst_start = true\npeer_port = " << peer_port
          << "\nmetrics_port = " << PortOf(FreeAddress(ip))
          << "\nseeds = [\"127.0.0.1:1\"]\n[platform]\nready_address = \"" << FreeAddress(ip)
          << "\"\ndirectory_address = \"" << FreeAddress(ip) << "\"\nstore_address = \""
          << this->deployment->store_address()
          << "\"\n[limits]\ncpu_share = 1.0\ncores = 1\nstop_grace_s = "
          << static_cast<double>(this->stop_grace.count()) / 1000
          << "\nstrict_keys = true\n"
             "key_revocation_ms = 5000\nretry_share = 0.2\nretry_slack = 100\n"
             "retry_window_s = 10\ngroup_stall_ms = "
          << this->deployment->stall_time.count() << "\n"
          << this->further_limits;
      this->processes.push_back(Process::Start("limpetfall-gateway", {"--settings", settings_path},
                                               settings_path + ".log"));
      if (i == 0) this->caller_address = caller;
      this->caller_addresses.push_back(caller);
    }
    this->RunUntil([&] { return this->deployment->OpenHeads().size() == 3; }, 10000);
    this->RunFor(500);
  }

  /** Kills a process and starts it again with the same settings. */
  void RestartProcess(std::size_t index) {
    this->processes.at(index).reset();
    const std::string path = (this->folder / ("p" + std::to_string(index) + ".toml")).string();
    this->processes.at(index) =
        Process::Start("limpetfall-gateway", {"--settings", path}, path + ".log");
  }

  /** Binds the ports of a node without listening. Otherwise, another test may take them while the
   * node is down. */
  void HoldPorts(std::size_t index) {
    std::ifstream file(this->folder / ("p" + std::to_string(index) + ".toml"));
    const auto ip = boost::asio::ip::make_address("127.0.0." + std::to_string(index + 1));
    for (std::string line; std::getline(file, line);) {
      const bool is_port = line.find("_port = ") != std::string::npos;
      const std::size_t before = is_port ? line.rfind(' ') : line.rfind(':');
      const int port = before == std::string::npos ? 0 : std::atoi(line.c_str() + before + 1);
      if (port < 1024 || line.starts_with("store_address")) continue;
      boost::asio::ip::tcp::acceptor& held = this->held_ports.emplace_back(this->ports_io);
      boost::system::error_code error;
      held.open(boost::asio::ip::tcp::v4());
      held.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true));
      held.bind({ip, static_cast<std::uint16_t>(port)}, error);
      if (error) std::cout << "port " << port << " is not held: " << error.message() << "\n";
    }
  }

  static std::string PortOf(const std::string& address) {
    return address.substr(address.rfind(':') + 1);
  }

  std::string further_limits;    ///< Lines of the settings under `[limits]`.
  std::filesystem::path folder;  ///< Settings and logs of the processes.
  std::vector<std::unique_ptr<Process>> processes;
  boost::asio::io_context ports_io;  ///< Of the held ports, which outlive the deployment.
  std::list<boost::asio::ip::tcp::acceptor> held_ports;
};

}  // namespace limpetfall::testing

#endif  // LIMPETFALL_TEST_HARNESS_GATEWAY_PROCESS_FIXTURE_H_
