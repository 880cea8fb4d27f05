#include "operators/admin-api.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "harness/run.h"

namespace limpetfall {
namespace {

using Json = nlohmann::json;

std::string ReadExampleDocument() {
  const char* source = std::getenv("LIMPETFALL_SOURCE");
  std::ifstream file(std::string(source != nullptr ? source : ".") +
                     "/support/examples/mirrors.json");
  return {std::istreambuf_iterator<char>(file), {}};
}

struct FakeNode {
  std::shared_ptr<const VersionedDocument> active;
  Result<ConfigChangeResult> change = ConfigChangeResult{true, 8, {NodeId("n1"), NodeId("n2")}};
  int change_calls = 0;
  ConfigVersion expected = 0;
  bool draining = false;

  std::shared_ptr<const VersionedDocument> ActiveDocument() { return this->active; }
  boost::asio::awaitable<Result<ConfigChangeResult>> ChangeConfig(std::string /*document*/,
                                                                  ConfigVersion version,
                                                                  Deadline /*deadline*/) {
    ++this->change_calls;
    this->expected = version;
    co_return this->change;
  }
  std::string StatusJson() { return R"({"node":"n1"})"; }
  void Drain() { this->draining = true; }
};

static_assert(AdminNode<FakeNode>);

class AdminApiTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdminApiTest);
  CPPUNIT_TEST(GetConfigReturnsVersionAsETag);
  CPPUNIT_TEST(GetConfigWithoutDocumentReturnsVersionZero);
  CPPUNIT_TEST(PutConfigWithoutValidVersionIsRejected);
  CPPUNIT_TEST(PutConfigReturnsVersionAndConfirmingNodes);
  CPPUNIT_TEST(PutConfigConflictReturnsActiveVersion);
  CPPUNIT_TEST(InvalidDocumentReturnsFaultList);
  CPPUNIT_TEST(FaultReportedByNodeIsReturnedInFaultList);
  CPPUNIT_TEST(NodeErrorKeepsVerdict);
  CPPUNIT_TEST(CheckDoesNotChangeConfig);
  CPPUNIT_TEST(StatusIsReturnedAndDrainStarts);
  CPPUNIT_TEST(UnknownMethodOrPathIsRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a document without its version: an operator could edit one version and replace
  // another.
  void GetConfigReturnsVersionAsETag() {
    const auto document = ParseDocument(ReadExampleDocument()).value();
    this->node->active = std::make_shared<VersionedDocument>(VersionedDocument{7, document});
    const auto response = Call("GET", "/admin/config");
    CPPUNIT_ASSERT_EQUAL(200, response.status);
    CPPUNIT_ASSERT_EQUAL(std::string("\"7\""), response.headers.at("ETag"));
    CPPUNIT_ASSERT(ParseDocument(response.body).value() == document);
  }

  // Guards against a new deployment that does not return a version for the first document, so that
  // the document cannot be submitted.
  void GetConfigWithoutDocumentReturnsVersionZero() {
    const auto response = Call("GET", "/admin/config");
    CPPUNIT_ASSERT_EQUAL(404, response.status);
    CPPUNIT_ASSERT_EQUAL(std::string("\"0\""), response.headers.at("ETag"));
  }

  // Guards against a change without a version, which would overwrite any active document.
  void PutConfigWithoutValidVersionIsRejected() {
    CPPUNIT_ASSERT_EQUAL(428, Call("PUT", "/admin/config", ReadExampleDocument()).status);
    for (const char* tag : {"*", "\"x\"", "\"1", "-1", "\"1\", \"2\""}) {
      CPPUNIT_ASSERT_EQUAL(400, Call("PUT", "/admin/config", ReadExampleDocument(), tag).status);
    }
    CPPUNIT_ASSERT_EQUAL(0, this->node->change_calls);
  }

  // Guards against a change that is applied to the wrong version.
  void PutConfigReturnsVersionAndConfirmingNodes() {
    const auto response = Call("PUT", "/admin/config", ReadExampleDocument(), "\"7\"");
    CPPUNIT_ASSERT_EQUAL(200, response.status);
    CPPUNIT_ASSERT_EQUAL(ConfigVersion{7}, this->node->expected);
    CPPUNIT_ASSERT_EQUAL(std::string("\"8\""), response.headers.at("ETag"));
    CPPUNIT_ASSERT(Json::parse(response.body) ==
                   Json({{"version", 8}, {"confirmed_by", {"n1", "n2"}}}));
  }

  // Guards against a conflict response without the active version. The operator needs it to reapply
  // the change.
  void PutConfigConflictReturnsActiveVersion() {
    this->node->change = ConfigChangeResult{false, 9, {}};
    const auto response = Call("PUT", "/admin/config", ReadExampleDocument(), "7");
    CPPUNIT_ASSERT_EQUAL(409, response.status);
    CPPUNIT_ASSERT_EQUAL(9, Json::parse(response.body)["version"].get<int>());
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), response.headers.at("X-Verdict"));
  }

  // Guards against a rejection that does not list the faults to correct.
  void InvalidDocumentReturnsFaultList() {
    const auto response = Call("PUT", "/admin/config", R"({"models":[]})", "7");
    CPPUNIT_ASSERT_EQUAL(422, response.status);
    const Json faults = Json::parse(response.body)["faults"];
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, faults.size());
    CPPUNIT_ASSERT(faults[0] == Json({{"pointer", "/teams"}, {"problem", "is missing"}}));
    CPPUNIT_ASSERT_EQUAL(0, this->node->change_calls);
  }

  // Guards against a rejection without a fault list when the node finds the fault, such as a
  // section that is too large for the store.
  void FaultReportedByNodeIsReturnedInFaultList() {
    this->node->change = NotRun(ErrorCode::kInvalidArgument, "/teams: takes too much\nno pointer");
    const auto response = Call("PUT", "/admin/config", ReadExampleDocument(), "7");
    CPPUNIT_ASSERT_EQUAL(422, response.status);
    CPPUNIT_ASSERT(Json::parse(response.body)["faults"] ==
                   Json({{{"pointer", "/teams"}, {"problem", "takes too much"}},
                         {{"pointer", ""}, {"problem", "no pointer"}}}));
  }

  // Guards against the verdict "not run" for a document that may be active.
  void NodeErrorKeepsVerdict() {
    this->node->change = MayHaveRun(ErrorCode::kUnavailable, "no reply");
    const auto response = Call("PUT", "/admin/config", ReadExampleDocument(), "7");
    CPPUNIT_ASSERT_EQUAL(503, response.status);
    CPPUNIT_ASSERT_EQUAL(std::string("may-have-run"), response.headers.at("X-Verdict"));
    CPPUNIT_ASSERT(response.headers.contains("Retry-After"));
  }

  // Guards against a check that activates the document.
  void CheckDoesNotChangeConfig() {
    CPPUNIT_ASSERT_EQUAL(200, Call("POST", "/admin/config/check", ReadExampleDocument()).status);
    CPPUNIT_ASSERT_EQUAL(422, Call("POST", "/admin/config/check", "{").status);
    CPPUNIT_ASSERT_EQUAL(0, this->node->change_calls);
  }

  // Guards against a node that cannot be drained before a planned stop.
  void StatusIsReturnedAndDrainStarts() {
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"node":"n1"})"), Call("GET", "/admin/status?x=1").body);
    CPPUNIT_ASSERT(!this->node->draining);
    CPPUNIT_ASSERT_EQUAL(202, Call("POST", "/admin/drain").status);
    CPPUNIT_ASSERT(this->node->draining);
  }

  // Guards against a drain by a GET request, which following a link could trigger.
  void UnknownMethodOrPathIsRejected() {
    CPPUNIT_ASSERT_EQUAL(405, Call("GET", "/admin/drain").status);
    CPPUNIT_ASSERT_EQUAL(404, Call("GET", "/admin/other").status);
    CPPUNIT_ASSERT(!this->node->draining);
  }

 private:
  HttpResponse Call(const std::string& method, const std::string& target,
                    const std::string& body = "", const std::string& if_match = "") {
    boost::asio::io_context io;
    auto handler = MakeAdminHandler(this->node, Milliseconds(5000));
    const auto server = HttpServer::Create(io, "127.0.0.1:0", std::move(handler), {}).value();
    const auto client = HttpClient::Create({}).value();
    HttpRequest request{method, server->address(), target, {}, body};
    if (!if_match.empty()) request.headers["If-Match"] = if_match;
    const Deadline deadline = Clock::now() + std::chrono::seconds(5);
    return testing::RunUntilDone(io, client->Fetch(std::move(request), deadline)).value();
  }

  std::shared_ptr<FakeNode> node = std::make_shared<FakeNode>();
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdminApiTest);

}  // namespace
}  // namespace limpetfall
