// The codec: the wire page's worked examples, both ways, and damaged frames.
#include "wire/wire.h"

#include <gtest/gtest.h>

namespace lemonroute::wire {
namespace {

std::string bytes(const std::string& hex) {
  std::string out, digits;
  for (const char c : hex)
    if (std::isxdigit(static_cast<unsigned char>(c)))
      digits.push_back(c);
  for (std::size_t i = 0; i + 1 < digits.size(); i += 2)
    out.push_back(static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, 16)));
  return out;
}

const std::string example =
    "68000000 5a5c800000000000 03000000"
    "3c 35000000 03000000 c4913a5dbbfe0b00 0000 0000 640ad2557c3bf091 80a90300 e02e0000 107cf3d901648e2b"
    "   0000e144 00009644 00008043 01"
    "5a 08000000 03000000 4d000000"
    "6e 0c000000 05000000 192b6f0e480f0900";

TEST(Wire, DecodesAWorkedBatch) {
  const Batch batch = decode_batch(bytes(example));
  EXPECT_EQ(batch.now, Micros(0x805c5a));
  ASSERT_EQ(batch.records.size(), 3u);
  const auto& query = std::get<Request>(batch.records[0].body);
  EXPECT_EQ(batch.records[0].dispatcher, 3u);
  EXPECT_EQ(query.time_budget, Micros(240000));
  EXPECT_EQ(query.prompt_tokens, 1800.f);
  EXPECT_EQ(query.shared_prefix_tokens, 1200.f);
  EXPECT_EQ(query.max_output_tokens, 256.f);
  EXPECT_EQ(query.flags, 1);
  EXPECT_EQ(std::get<TimerFired>(batch.records[1].body).timer_id, 77u);
  EXPECT_EQ(batch.records[2].dispatcher, 5u);
}

TEST(Wire, EncodesAWorkedReply) {
  const Reply reply{{3, Send{0x000bfebb5d3a91c4, Micros(80000), 0x03124a07}},
                    {3, StartTimer{77, Micros(500000)}},
                    {3, Log{"two servers known"}}};
  EXPECT_EQ(encode_reply(reply), bytes("03000000 4e000000"
                                       "0a 14000000 03000000 c4913a5dbbfe0b00 80380100 074a1203"
                                       "32 0c000000 03000000 4d000000 20a10700"
                                       "5a 17000000 03000000 1100 74776f2073657276657273206b6e6f776e"));
}

TEST(Wire, EmptyBatchAndReply) {
  EXPECT_TRUE(decode_batch(bytes("10000000 5a5c800000000000 00000000")).records.empty());
  EXPECT_EQ(encode_reply({}), bytes("00000000 08000000"));
}

TEST(Wire, EveryEventGoesThereAndBack) {
  Batch batch{Micros(123456789012), {}};
  batch.records = {{1, Create{42, "a=b\n"}},
                   {1, Shutdown{}},
                   {1, EndpointListUpdate{EndpointListKind::incremental,
                                          7,
                                          {{5, 1, 2, 3, EndpointState::draining, 1.5f, Micros(99)}}}},
                   {1, Request{9, 1, 2, 3, Micros(4), Micros(5), 6, 7.f, 8.f, 9.f, 16}},
                   {1, FirstTokenReceived{9, 5, 1, Micros(77)}},
                   {1, ReservationUpdate{9, 5, 1, 0.f, 2}},
                   {1, AttemptCompleted{9, Outcome::prefill_done, false, Micros(8), 5, 100, 1, {1.f, 0.5f}}},
                   {1, ClientDisconnected{9}},
                   {1, TimerFired{3}},
                   {1, HealthResult{5, Outcome::ok, Micros(6), {2.f}}},
                   {1, PeerMessage{2, "hi"}}};
  const std::string frame = encode_batch(batch);
  const Batch again = decode_batch(frame);
  ASSERT_EQ(again.records.size(), batch.records.size());
  for (std::size_t i = 0; i < batch.records.size(); ++i)
    EXPECT_EQ(again.records[i].body.index(), batch.records[i].body.index());
  EXPECT_EQ(encode_batch(again), frame);
  EXPECT_EQ(std::get<EndpointListUpdate>(again.records[2].body).endpoints.at(0).started_at, Micros(99));
  EXPECT_EQ(std::get<AttemptCompleted>(again.records[6].body).load_report, (std::vector<float>{1.f, 0.5f}));
}

TEST(Wire, EveryActionGoesThereAndBack) {
  const Reply reply{{1, Broken{"b"}},
                    {1, Send{1, Micros(2), 3}},
                    {1, RejectRequest{1, Micros(2)}},
                    {1, FailRequest{1}},
                    {1, CancelAttempt{1, 2}},
                    {1, StartTimer{1, Micros(2)}},
                    {1, Probe{1}},
                    {1, CloseIdleConnections{1}},
                    {1, SendPeerMessage{1, "x"}},
                    {1, Log{"y"}},
                    {1, WatchEndpointList{true}},
                    {1, FetchEndpointList{}},
                    {1, EvictReservation{1}},
                    {1, ReserveCapacity{1, 2}},
                    {1, ReleaseReservation{1}}};
  const std::string frame = encode_reply(reply);
  const Reply again = decode_reply(frame);
  ASSERT_EQ(again.size(), reply.size());
  for (std::size_t i = 0; i < reply.size(); ++i)
    EXPECT_EQ(again[i].body.index(), reply[i].body.index());
  EXPECT_EQ(encode_reply(again), frame);
}

TEST(Wire, SkipsUnknownCodesAndTrailingFields) {
  const Batch batch =
      decode_batch(bytes("25000000 0100000000000000 02000000"
                         "c8 01000000 ff"
                         "5a 0a000000 03000000 4d000000 ffff"));
  ASSERT_EQ(batch.records.size(), 1u);
  EXPECT_EQ(std::get<TimerFired>(batch.records[0].body).timer_id, 77u);
}

TEST(Wire, DamagedFramesAreNamed) {
  const std::string whole = bytes(example);
  EXPECT_THROW(frame_length(bytes("0f000000")), FrameError);
  for (std::size_t cut = 4; cut < whole.size(); ++cut) {
    std::string part = whole.substr(0, cut);
    EXPECT_THROW(decode_batch(part), FrameError) << cut;  // the length does not fit
    part[0] = static_cast<char>(cut);                     // the length fits, the records don't
    EXPECT_THROW(decode_batch(part), FrameError) << cut;
  }
  std::string left_over = whole;
  left_over[12] = 2;
  EXPECT_THROW(decode_batch(left_over), FrameError);
  std::string short_record = bytes("19000000 5a5c800000000000 01000000 5a 04000000 03000000");
  try {
    decode_batch(short_record);
    FAIL() << "a record shorter than its fields was taken";
  } catch (const FrameError& error) {
    EXPECT_NE(std::string(error.what()).find("code 90"), std::string::npos) << error.what();
  }
}

TEST(Wire, HugeCountsDoNotAllocate) {
  // A list that says it has four thousand million entries and has none.
  EXPECT_THROW(
      decode_batch(bytes("22000000 0000000000000000 01000000 50 0d000000 03000000 01 00000000 ffffffff")),
      FrameError);
}

}  // namespace
}  // namespace lemonroute::wire
