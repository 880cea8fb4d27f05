#include <tclap/CmdLine.h>

#include <iostream>

#include "base/allocator.h"
#include "base/log.h"
#include "daemon/entry-node.h"

namespace limpetfall {
namespace {

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

int Start(const std::string& path, bool check_only) {
  const auto settings = LoadSettings(path);
  if (!settings) {
    std::cerr << settings.error().message << "\n";
    return kExitUsage;
  }
  if (check_only) return 0;
  if (const auto logging = StartLogging("limpetfall", settings.value().log_level); !logging) {
    std::cerr << logging.error().message << "\n";
    return kExitUsage;
  }
  const auto node = EntryNode::Create(settings.value());
  if (!node) {
    Log(LogLevel::kError, "start_failed", {{"error", node.error().message}});
    return kExitFailure;
  }
  node.value()->Run();
  return 0;
}

}  // namespace
}  // namespace limpetfall

int main(int argc, char** argv) {
  limpetfall::ReturnLargeBlocks();
  try {
    TCLAP::CmdLine command("Entry node of limpetfall", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> settings("s", "settings", "settings file", true, "", "FILE",
                                          command);
    TCLAP::SwitchArg check("c", "check", "check the settings file and exit", command);
    command.parse(argc, argv);
    return limpetfall::Start(settings.getValue(), check.getValue());
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.error() << "\n";
    return limpetfall::kExitUsage;
  }
}
