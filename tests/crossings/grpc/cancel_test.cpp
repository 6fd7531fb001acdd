// A client cancels a call, or closes its connection × each thing that was about to happen for it. A further
// call waits behind it on the same connections, and is served.
#include "crossings/grpc/both_sides_bed.h"

namespace lemonroute::crossings {
namespace {

struct GrpcCancel : BothSides {};

TEST_F(GrpcCancel, BeforeTheConnectionToItsNodeIsUp) {
  ASSERT_TRUE(hello(*client));
  client->send(call(*client, 1, "gone") + reset(1, CANCEL) + call(*client, 3, "behind"));
  ASSERT_TRUE(reader = prefill.accept());
  serve(*client, 3, "behind");
  EXPECT_EQ(stream_of(*reader, "gone"), 0u);
  EXPECT_EQ(releases(*reader), 0u);
}

TEST_F(GrpcCancel, JustAfterItsRequestIsWritten) {
  ASSERT_TRUE(hello(*client));
  client->send(call(*client, 1, "gone") + call(*client, 3, "behind"));
  ASSERT_TRUE(reader = prefill.accept());
  const std::uint32_t at = take(*reader, "gone");
  client->send(reset(1, CANCEL));
  ASSERT_TRUE(reader->until([&] { return reader->find(RST_STREAM, at) != nullptr; }));
  // A prefill that was cut may have ended well in that moment: what it left is released, behind the reset.
  ASSERT_TRUE(reader->until([&] { return releases(*reader) == 1; }));
  serve(*client, 3, "behind");
}

TEST_F(GrpcCancel, BeforeOrAfterAPlaceAtItsNodeIsFree) {
  ASSERT_TRUE(hello(*client));
  client->send(call(*client, 1, "first"));
  ASSERT_TRUE(reader = prefill.accept(1));
  const std::uint32_t first = take(*reader, "first");
  client->send(call(*client, 3, "before") + call(*client, 5, "after") + call(*client, 7, "behind"));
  client->settle();
  client->send(reset(3, CANCEL));
  client->settle();
  reader->send(prefill_answer(*reader, first));
  const std::uint32_t after = take(*reader, "after");
  ASSERT_GT(after, 0u);
  EXPECT_EQ(stream_of(*reader, "before"), 0u);
  EXPECT_EQ(stream_of(*reader, "behind"), 0u);
  client->send(reset(5, CANCEL));
  ASSERT_TRUE(reader->until([&] { return reader->find(RST_STREAM, after) != nullptr; }));
  // The release of "after" takes the place that its reset has freed; "behind" comes next.
  ASSERT_TRUE(reader->until([&] { return releases(*reader) + (stream_of(*reader, "behind") > 0) > 0; }));
  for (const auto& one : std::vector<Seen>(reader->seen))
    if (one.type == HEADERS && grpc::find(one.headers, ":path") == "/lemonroute.v1.Node/Release")
      reader->send(head(*reader, one.stream) + frame(DATA, NONE, one.stream, grpc::frame("")) +
                   tail(*reader, one.stream));
  serve(*client, 7, "behind");
  EXPECT_EQ(stream_of(*reader, "before"), 0u);
}

TEST_F(GrpcCancel, AsItsPrefillIsDone) {
  for (const bool before : {true, false}) {
    const string id = before ? "before" : "after";
    const std::uint32_t stream = before ? 1 : 3;
    if (before) {
      ASSERT_TRUE(hello(*client));
    }
    client->send(call(*client, stream, id));
    if (!reader) {
      ASSERT_TRUE(reader = prefill.accept());
    }
    const std::uint32_t at = take(*reader, id);
    const std::size_t released = releases(*reader);
    if (before) {
      client->send(reset(stream, CANCEL));
      client->settle();
      reader->send(prefill_answer(*reader, at));  // it crosses the reset
      reader->settle();
      EXPECT_TRUE(decode.nobody());
    } else {
      const std::uint32_t decodes = to_decode(id);
      ASSERT_GT(decodes, 0u);
      client->send(reset(stream, CANCEL));
      ASSERT_TRUE(writer->until([&] { return writer->find(RST_STREAM, decodes) != nullptr; }));
    }
    EXPECT_TRUE(reader->until([&] { return releases(*reader) > released; })) << id;
  }
}

// The prefill is done and the connection to the decode node is not up yet: it hears nothing of the call.
TEST_F(GrpcCancel, WhileTheConnectionToTheDecodeNodeComesUp) {
  ASSERT_TRUE(hello(*client));
  client->send(call(*client, 1, "gone"));
  ASSERT_TRUE(reader = prefill.accept());
  const std::uint32_t at = take(*reader, "gone");
  client->send(reset(1, CANCEL));
  reader->send(prefill_answer(*reader, at));
  // Both have come in; whichever the loop reads first, a request that the decode node has is taken back.
  ASSERT_TRUE(reader->until([&] { return releases(*reader) > 0; }));
  client->send(call(*client, 3, "behind"));
  const std::uint32_t behind = take(*reader, "behind");
  reader->send(prefill_answer(*reader, behind));
  ASSERT_TRUE(writer = decode.accept());
  const std::uint32_t decodes = take(*writer, "behind");
  writer->send(head(*writer, decodes) + event(decodes, "x") + tail(*writer, decodes));
  ASSERT_TRUE(client->until([&] { return client->over(3); }));
  EXPECT_EQ(client->field(3, "grpc-status"), "0");
  const std::uint32_t gone = stream_of(*writer, "gone");
  EXPECT_TRUE(gone == 0 || writer->find(RST_STREAM, gone));
}

TEST_F(GrpcCancel, AsTheLastByteOfItsAnswerComes) {
  ASSERT_TRUE(hello(*client));
  std::uint32_t stream = 1;
  for (const bool cancel_first : {true, false}) {
    const string id = "q" + std::to_string(stream);
    client->send(call(*client, stream, id));
    if (!reader) {
      ASSERT_TRUE(reader = prefill.accept());
    }
    const std::uint32_t at = to_decode(id);
    writer->send(event(at, "x"));
    ASSERT_TRUE(client->until([&] { return events_of(*client, stream).size() == 1; }));
    if (cancel_first) {
      client->send(reset(stream, CANCEL));
      client->settle();
      EXPECT_EQ(core.open_request_count(), 0u);
      writer->send(tail(*writer, at));
      writer->settle();
    } else {
      writer->send(tail(*writer, at));
      writer->settle();
      client->send(reset(stream, CANCEL));
      client->settle();
    }
    EXPECT_EQ(core.open_request_count(), 0u);
    EXPECT_FALSE(client->closed);
    EXPECT_FALSE(writer->closed);
    stream += 2;
  }
  client->send(call(*client, stream, "behind"));
  serve(*client, stream, "behind");
}

// A connection that closes takes its calls along, and nobody else's.
TEST_F(GrpcCancel, ByAConnectionThatClosesWhileItsCallsWait) {
  ASSERT_TRUE(hello(*client));
  client->send(call(*client, 1, "first"));
  ASSERT_TRUE(reader = prefill.accept(1));
  const std::uint32_t first = take(*reader, "first");
  client->send(call(*client, 3, "waits"));
  client->settle();
  const auto other = dial();
  ASSERT_TRUE(hello(*other));
  other->send(call(*other, 1, "other"));
  other->settle();
  client->drop();
  ASSERT_TRUE(reader->until([&] { return reader->find(RST_STREAM, first) != nullptr; }));
  ASSERT_TRUE(reader->until([&] { return releases(*reader) + (stream_of(*reader, "other") > 0) > 0; }));
  for (const auto& one : std::vector<Seen>(reader->seen))
    if (one.type == HEADERS && grpc::find(one.headers, ":path") == "/lemonroute.v1.Node/Release")
      reader->send(head(*reader, one.stream) + frame(DATA, NONE, one.stream, grpc::frame("")) +
                   tail(*reader, one.stream));
  serve(*other, 1, "other");
  EXPECT_EQ(stream_of(*reader, "waits"), 0u);
}

}  // namespace
}  // namespace lemonroute::crossings
