#include "tool/admin-commands.h"

#include <iostream>
#include <nlohmann/json.hpp>

#include "base/settings.h"
#include "client/blocking-http.h"
#include "client/completion-reader.h"
#include "core/config-document.h"
#include "tool/arguments.h"

namespace limpetfall {
namespace {

using Json = nlohmann::json;

// Long, because accepting a document waits for the store and for the other nodes.
constexpr Milliseconds kAdminTimeout{15000};

/** The option for the administration address of a node, and requests to that address. */
class AdminArgument {
 public:
  explicit AdminArgument(TCLAP::CmdLine& line)
      : argument("n", "node", "administration address of a node", true, "", "IP:port", line) {}

  Result<HttpResponse> Send(const std::string& method, const std::string& target, std::string body,
                            Headers headers) {
    BOOST_OUTCOME_TRY(auto http, BlockingHttp::Create());
    HttpRequest request;
    request.method = method;
    request.address = this->argument.getValue();
    request.target = target;
    request.headers = std::move(headers);
    request.body = std::move(body);
    if (!request.body.empty()) request.headers["Content-Type"] = "application/json";
    return http->Send(request, {}, Clock::now() + kAdminTimeout, {});
  }

 private:
  TCLAP::ValueArg<std::string> argument;
};

std::string PrettyPrintJson(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  return json.is_discarded() ? text : json.dump(2, ' ', false, Json::error_handler_t::replace);
}

std::string HeaderValue(const HttpResponse& response, const std::string& name) {
  auto found = response.headers.find(name);
  return found == response.headers.end() ? std::string() : found->second;
}

// The error response to a change contains faults and versions that the operator needs.
ExitCode ReportErrorResponse(const HttpResponse& response) {
  Error fallback = MayHaveRun(ErrorCode::kInternal,
                              "the node responded with status " + std::to_string(response.status));
  if (response.status >= 400 && response.status < 500) fallback.verdict = Verdict::kNotRun;
  if (response.status == 409) fallback.code = ErrorCode::kConflict;
  if (auto verdict = ParseVerdict(HeaderValue(response, "X-Verdict"))) fallback.verdict = *verdict;
  const Json json = Json::parse(response.body, nullptr, false);
  if (json.is_object() && json.contains("faults")) {
    for (const Json& fault : json["faults"]) {
      std::cerr << fault.value("pointer", "") << ": " << fault.value("problem", "") << "\n";
    }
  }
  return ReportError(ParseErrorBody(response.body, fallback));
}

ExitCode Print(const Result<HttpResponse>& response) {
  if (!response) return ReportError(response.error());
  if (response.value().status / 100 != 2) return ReportErrorResponse(response.value());
  std::cout << PrettyPrintJson(response.value().body) << "\n";
  return ExitCode::kSuccess;
}

/** Reads a document and prints every fault. Returns an error if there are any. */
Result<Document> LoadDocument(const std::string& path) {
  BOOST_OUTCOME_TRY(auto text, ReadFile(path));
  DocumentValidation check = ValidateDocument(text);
  for (const ValidationError& fault : check.errors) {
    std::cerr << path << ": " << (fault.pointer.empty() ? "/" : fault.pointer) << ": "
              << fault.problem << "\n";
  }
  if (check.errors.empty()) return std::move(check.document);
  return NotRun(ErrorCode::kInvalidArgument,
                path + " has " + std::to_string(check.errors.size()) + " faults");
}

}  // namespace

ExitCode SettingsCheck(const Arguments& arguments) {
  TCLAP::CmdLine line("Checks a settings file of a node.", ' ', std::string(kVersion));
  TCLAP::UnlabeledValueArg<std::string> file("file", "TOML file", true, "", "FILE", line);
  if (auto done = ParseArguments(line, "settings check", arguments)) return *done;
  if (auto settings = LoadSettings(file.getValue()); !settings) {
    std::cerr << settings.error().message << "\n";
    return ExitCode::kFailure;
  }
  std::cout << file.getValue() << ": valid\n";
  return ExitCode::kSuccess;
}

ExitCode ConfigCheck(const Arguments& arguments) {
  TCLAP::CmdLine line("Checks a configuration document and lists every fault.", ' ',
                      std::string(kVersion));
  TCLAP::UnlabeledValueArg<std::string> file("file", "JSON document", true, "", "FILE", line);
  if (auto done = ParseArguments(line, "config check", arguments)) return *done;
  if (!LoadDocument(file.getValue())) return ExitCode::kFailure;
  std::cout << file.getValue() << ": valid\n";
  return ExitCode::kSuccess;
}

ExitCode ConfigApply(const Arguments& arguments) {
  TCLAP::CmdLine line(
      "Activates a document. Fails with exit code 5 if the active version is not the one given by "
      "--expect.",
      ' ', std::string(kVersion));
  AdminArgument admin(line);
  TCLAP::ValueArg<std::uint64_t> version("e", "expect",
                                         "version that the change is based on; 0 for the first",
                                         true, 0, "VERSION", line);
  TCLAP::UnlabeledValueArg<std::string> file("file", "JSON document", true, "", "FILE", line);
  if (auto done = ParseArguments(line, "config apply", arguments)) return *done;
  auto document = LoadDocument(file.getValue());
  if (!document) return ReportError(document.error());
  return Print(admin.Send("PUT", "/admin/config", SerializeDocument(document.value()),
                          {{"If-Match", "\"" + std::to_string(version.getValue()) + "\""}}));
}

ExitCode ConfigShow(const Arguments& arguments) {
  TCLAP::CmdLine line("Prints the active document, and its version to standard error.", ' ',
                      std::string(kVersion));
  AdminArgument admin(line);
  if (auto done = ParseArguments(line, "config show", arguments)) return *done;
  const auto response = admin.Send("GET", "/admin/config", "", {});
  if (response && response.value().status == 200) {
    std::cerr << "version " << HeaderValue(response.value(), "X-Config-Version") << "\n";
  }
  return Print(response);
}

ExitCode ConfigDiff(const Arguments& arguments) {
  TCLAP::CmdLine line(
      "Lists the changes that applying a document would make, one JSON Patch operation per line.",
      ' ', std::string(kVersion));
  AdminArgument admin(line);
  TCLAP::UnlabeledValueArg<std::string> file("file", "JSON document", true, "", "FILE", line);
  if (auto done = ParseArguments(line, "config diff", arguments)) return *done;
  const auto document = LoadDocument(file.getValue());
  if (!document) return ExitCode::kFailure;
  const auto response = admin.Send("GET", "/admin/config", "", {});
  if (!response) return ReportError(response.error());
  if (response.value().status != 200) return ReportErrorResponse(response.value());
  const Json current = Json::parse(response.value().body, nullptr, false);
  const Json proposed = Json::parse(SerializeDocument(document.value()));
  std::cerr << "version " << HeaderValue(response.value(), "X-Config-Version") << "\n";
  for (const Json& change : Json::diff(current, proposed)) std::cout << change.dump() << "\n";
  return ExitCode::kSuccess;
}

ExitCode Status(const Arguments& arguments) {
  TCLAP::CmdLine line("Prints the state of a node as JSON.", ' ', std::string(kVersion));
  AdminArgument admin(line);
  if (auto done = ParseArguments(line, "status", arguments)) return *done;
  return Print(admin.Send("GET", "/admin/status", "", {}));
}

ExitCode DrainNode(const Arguments& arguments) {
  TCLAP::CmdLine line("Starts the planned shutdown of a node.", ' ', std::string(kVersion));
  AdminArgument admin(line);
  if (auto done = ParseArguments(line, "drain node", arguments)) return *done;
  return Print(admin.Send("POST", "/admin/drain", "", {}));
}

}  // namespace limpetfall
