#include "gateway/event-buffer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <random>

namespace limpetfall {
namespace {

class EventBufferTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventBufferTest);
  CPPUNIT_TEST(PartialEventIsNotReturned);
  CPPUNIT_TEST(GapInEventIdsIsAnError);
  CPPUNIT_TEST(RepeatedEventIdIsAnError);
  CPPUNIT_TEST(NoEventFollowsTheLargestId);
  CPPUNIT_TEST(EventBeforeAGapIsNotCountedAsReturned);
  CPPUNIT_TEST(EventWithoutEndIsAnErrorAtTheLimit);
  CPPUNIT_TEST(SeveralEventsInOneReadAreAllReturned);
  CPPUNIT_TEST(RandomChunkingReturnsTheSameStream);
  CPPUNIT_TEST(RandomBytesLoseNoData);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a resumed stream that joins halves of two events: the first upstream fails
  // within an event and the second one sends that event from its start.
  void PartialEventIsNotReturned() {
    EventBuffer buffer{std::nullopt};
    buffer.bytes() = "id: 1\ndata: a\n\nid: 2\nda";
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\n"), buffer.TakeCompleteEvents().value());
    CPPUNIT_ASSERT(buffer.has_partial_event());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, *buffer.last_id());
    buffer.DiscardPartialEvent();
    buffer.bytes() = "id: 2\ndata: b\n\n";
    CPPUNIT_ASSERT_EQUAL(std::string("id: 2\ndata: b\n\n"), buffer.TakeCompleteEvents().value());
    CPPUNIT_ASSERT(!buffer.has_partial_event());
  }

  // Guards against a stream with a missing event, as in a late response of an earlier run.
  void GapInEventIdsIsAnError() {
    EventBuffer buffer(3);
    buffer.bytes() = "id: 5\ndata: x\n\n";
    CPPUNIT_ASSERT(buffer.TakeCompleteEvents().error().code == ErrorCode::kUpstreamProtocol);
  }

  // Guards against an event that a caller receives twice because the stream resumed at the wrong
  // one.
  void RepeatedEventIdIsAnError() {
    EventBuffer buffer(3);
    buffer.bytes() = "id: 3\ndata: x\n\n";
    CPPUNIT_ASSERT(!buffer.TakeCompleteEvents());
  }

  // Guards against an overflow after the id that a caller states.
  void NoEventFollowsTheLargestId() {
    EventBuffer buffer(std::numeric_limits<std::int64_t>::max());
    const std::string smallest = "id: -9223372036854775808\ndata: x\n\n";
    buffer.bytes() = smallest;
    CPPUNIT_ASSERT(!buffer.TakeCompleteEvents());
    EventBuffer first(std::nullopt);
    first.bytes() = smallest;
    CPPUNIT_ASSERT_EQUAL(smallest, first.TakeCompleteEvents().value());
  }

  // Guards against an event that no caller receives: a read contains a valid event and one that
  // does not follow it, and another upstream continues after the valid one.
  void EventBeforeAGapIsNotCountedAsReturned() {
    EventBuffer buffer(3);
    buffer.bytes() = "id: 4\ndata: x\n\nid: 9\ndata: y\n\n";
    CPPUNIT_ASSERT(!buffer.TakeCompleteEvents());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, *buffer.last_id());
  }

  // Guards against memory that grows with the bytes of an upstream which never ends its event.
  void EventWithoutEndIsAnErrorAtTheLimit() {
    EventBuffer buffer{std::nullopt};
    buffer.bytes() = "id: 0\ndata: a\n\n";
    for (std::size_t sent = 0; sent <= EventBuffer::kMaxEventBytes; sent += 1024) {
      buffer.bytes().append(1024, 'x');
      const auto taken = buffer.TakeCompleteEvents();
      if (!taken) {
        CPPUNIT_ASSERT(taken.error().code == ErrorCode::kResponseTooLarge);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, *buffer.last_id());
        return;
      }
    }
    CPPUNIT_FAIL("the partial event exceeds its limit");
  }

  // Guards against lost events when one read contains several.
  void SeveralEventsInOneReadAreAllReturned() {
    EventBuffer buffer{std::nullopt};
    buffer.bytes() = "id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\ndata: c\n\n";
    CPPUNIT_ASSERT_EQUAL(std::size_t{45}, buffer.TakeCompleteEvents().value().size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, *buffer.last_id());
  }

  // Guards against results that depend on how the network splits the stream (fixed seeds).
  void RandomChunkingReturnsTheSameStream() {
    std::string stream;
    for (int i = 0; i < 50; ++i) {
      stream += "id: " + std::to_string(i) +
                "\ndata: " + std::string(static_cast<std::size_t>(i % 7), 'x') + "\n\n";
    }
    for (unsigned seed = 1; seed <= 200; ++seed) {
      std::mt19937 random(seed);
      EventBuffer buffer{std::nullopt};
      std::string received;
      for (std::size_t at = 0; at < stream.size();) {
        const std::size_t length = 1 + random() % 20;
        buffer.bytes() += stream.substr(at, length);
        at += length;
        received += buffer.TakeCompleteEvents().value();
      }
      CPPUNIT_ASSERT_EQUAL(stream, received);
    }
  }

  // Guards against a crash or lost bytes when the input contains no valid events (fixed seeds).
  void RandomBytesLoseNoData() {
    for (unsigned seed = 1; seed <= 500; ++seed) {
      std::mt19937 random(seed);
      EventBuffer buffer(static_cast<std::int64_t>(random() % 4));
      for (int i = 0; i < 20; ++i) {
        constexpr std::string_view kAlphabet = "id: 0123\n\n\r:x-";
        for (int j = 0; j < 8; ++j) buffer.bytes() += kAlphabet[random() % kAlphabet.size()];
        const std::size_t before = buffer.bytes().size();
        const auto taken = buffer.TakeCompleteEvents();
        if (!taken) break;
        CPPUNIT_ASSERT_EQUAL(before, taken.value().size() + buffer.bytes().size());
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventBufferTest);

}  // namespace
}  // namespace limpetfall
