#include "wire/wire.h"

#include <cstring>
#include <limits>
#include <type_traits>

namespace lemonroute::wire {
namespace {

struct U32Micros {
  Micros& value;
};  // a time in four bytes; the clock's own take eight
struct ShortText {
  std::string& value;
};  // counted by u16

class Writer {
 public:
  static constexpr bool reading = false;
  std::string bytes;

  template <class T>
  void raw(T value) {
    for (std::size_t i = 0; i < sizeof(T); ++i)
      bytes.push_back(static_cast<char>(value >> (8 * i) & 0xff));
  }
  template <class T>
  requires std::is_integral_v<T>
  void operator()(const T& value) { raw(static_cast<std::make_unsigned_t<T>>(value)); }
  void operator()(const bool& value) { raw(static_cast<std::uint8_t>(value)); }
  void operator()(const float& value) {
    std::uint32_t bits = 0;
    std::memcpy(&bits, &value, sizeof bits);
    raw(bits);
  }
  template <class T>
  requires std::is_enum_v<T>
  void operator()(const T& value) { raw(static_cast<std::underlying_type_t<T>>(value)); }
  void operator()(const Micros& value) { raw(static_cast<std::uint64_t>(value.count())); }
  void operator()(U32Micros value) {
    const auto most = static_cast<Micros::rep>(std::numeric_limits<std::uint32_t>::max());
    const auto count = value.value.count();
    raw(static_cast<std::uint32_t>(count < 0 ? 0 : count > most ? most : count));
  }
  void operator()(const std::string& text) {
    raw(static_cast<std::uint32_t>(text.size()));
    bytes += text;
  }
  void operator()(ShortText text) {
    const auto size = std::min<std::size_t>(text.value.size(), 0xffff);
    raw(static_cast<std::uint16_t>(size));
    bytes.append(text.value, 0, size);
  }
  template <class Count, class T>
  void list(std::vector<T>& items) {
    raw(static_cast<Count>(items.size()));
    for (auto& item : items)
      fields(*this, item);
  }
};

class Reader {
 public:
  static constexpr bool reading = true;
  Reader(const std::string& bytes, std::size_t from, std::size_t to, std::string what)
      : bytes_(bytes), at_(from), end_(to), what_(std::move(what)) {}

  std::size_t at() const { return at_; }
  const char* take(std::size_t size) {
    if (end_ - at_ < size)
      throw FrameError(what_ + ": needs " + std::to_string(size) + " bytes at offset " + std::to_string(at_) +
                       ", has " + std::to_string(end_ - at_));
    const char* data = bytes_.data() + at_;
    at_ += size;
    return data;
  }
  template <class T>
  T raw() {
    const char* data = take(sizeof(T));
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i)
      value |= static_cast<std::uint64_t>(static_cast<unsigned char>(data[i])) << (8 * i);
    return static_cast<T>(value);
  }
  template <class T>
  requires std::is_integral_v<T>
  void operator()(T& value) { value = raw<T>(); }
  void operator()(bool& value) { value = raw<std::uint8_t>() != 0; }
  void operator()(float& value) {
    const auto bits = raw<std::uint32_t>();
    std::memcpy(&value, &bits, sizeof value);
  }
  template <class T>
  requires std::is_enum_v<T>
  void operator()(T& value) { value = static_cast<T>(raw<std::underlying_type_t<T>>()); }
  void operator()(Micros& value) { value = Micros(static_cast<Micros::rep>(raw<std::uint64_t>())); }
  void operator()(U32Micros value) { value.value = Micros(raw<std::uint32_t>()); }
  void operator()(std::string& text) {
    const auto size = raw<std::uint32_t>();
    text.assign(take(size), size);
  }
  void operator()(ShortText text) {
    const auto size = raw<std::uint16_t>();
    text.value.assign(take(size), size);
  }
  template <class Count, class T>
  void list(std::vector<T>& items) {
    const std::size_t count = raw<Count>();
    items.clear();  // no reserve: the count is not yet known to fit
    for (std::size_t i = 0; i < count; ++i)
      fields(*this, items.emplace_back());
  }

 private:
  const std::string& bytes_;
  std::size_t at_, end_;
  std::string what_;
};

// The fields of every record, in the wire's order; `io` writes or reads each.
template <class IO>
void fields(IO& io, float& v) {
  io(v);
}
template <class IO>
void fields(IO& io, Endpoint& v) {
  io(v.id);
  io(v.zone);
  io(v.kind);
  io(v.cell);
  io(v.state);
  io(v.weight);
  io(v.started_at);
}
template <class IO>
void fields(IO& io, Create& v) {
  io(v.seed);
  io(v.options);
}
template <class IO>
void fields(IO&, Shutdown&) {}
template <class IO>
void fields(IO& io, EndpointListUpdate& v) {
  io(v.kind);
  io(v.version);
  io.template list<std::uint32_t>(v.endpoints);
}
template <class IO>
void fields(IO& io, Request& v) {
  io(v.id);
  io(v.class_index);
  io(v.tenant_index);
  io(v.session_key);
  io(U32Micros{v.time_budget});
  io(U32Micros{v.expected_latency});
  io(v.shared_prefix_key);
  io(v.prompt_tokens);
  io(v.shared_prefix_tokens);
  io(v.max_output_tokens);
  io(v.flags);
}
template <class IO>
void fields(IO& io, FirstTokenReceived& v) {
  io(v.id);
  io(v.endpoint);
  io(v.attempt);
  io(U32Micros{v.elapsed});
}
template <class IO>
void fields(IO& io, ReservationUpdate& v) {
  io(v.id);
  io(v.endpoint);
  io(v.kind);
  io(v.value);
  io(v.attempt);
}
template <class IO>
void fields(IO& io, AttemptCompleted& v) {
  io(v.id);
  io(v.outcome);
  io(v.request_finished);
  io(U32Micros{v.elapsed});
  io(v.endpoint);
  io(v.cached_tokens);
  io(v.attempt);
  io.template list<std::uint8_t>(v.load_report);
}
template <class IO>
void fields(IO& io, ClientDisconnected& v) {
  io(v.id);
}
template <class IO>
void fields(IO& io, TimerFired& v) {
  io(v.timer_id);
}
template <class IO>
void fields(IO& io, HealthResult& v) {
  io(v.endpoint);
  io(v.outcome);
  io(U32Micros{v.elapsed});
  io.template list<std::uint8_t>(v.load_report);
}
template <class IO>
void fields(IO& io, PeerMessage& v) {
  io(v.from);
  io(ShortText{v.payload});
}
template <class IO>
void fields(IO& io, Broken& v) {
  io(ShortText{v.line});
}
template <class IO>
void fields(IO& io, Send& v) {
  io(v.id);
  io(U32Micros{v.timeout});
  io(v.endpoint);
}
template <class IO>
void fields(IO& io, RejectRequest& v) {
  io(v.id);
  io(U32Micros{v.retry_after});
}
template <class IO>
void fields(IO& io, FailRequest& v) {
  io(v.id);
}
template <class IO>
void fields(IO& io, CancelAttempt& v) {
  io(v.id);
  io(v.attempt);
}
template <class IO>
void fields(IO& io, StartTimer& v) {
  io(v.timer_id);
  io(U32Micros{v.delay});
}
template <class IO>
void fields(IO& io, Probe& v) {
  io(v.endpoint);
}
template <class IO>
void fields(IO& io, CloseIdleConnections& v) {
  io(v.endpoint);
}
template <class IO>
void fields(IO& io, SendPeerMessage& v) {
  io(v.to);
  io(ShortText{v.payload});
}
template <class IO>
void fields(IO& io, Log& v) {
  io(ShortText{v.line});
}
template <class IO>
void fields(IO& io, WatchEndpointList& v) {
  io(v.open);
}
template <class IO>
void fields(IO&, FetchEndpointList&) {}
template <class IO>
void fields(IO& io, EvictReservation& v) {
  io(v.id);
}
template <class IO>
void fields(IO& io, ReserveCapacity& v) {
  io(v.id);
  io(v.endpoint);
}
template <class IO>
void fields(IO& io, ReleaseReservation& v) {
  io(v.id);
}

// Record codes, in the order of the variants' alternatives.
constexpr std::uint8_t event_codes[] = {20, 30, 80, 60, 40, 10, 100, 110, 90, 70, 50};
constexpr std::uint8_t action_codes[] = {100, 10, 20, 30, 40, 50, 60, 70, 80, 90, 110, 120, 130, 140, 150};
static_assert(std::size(event_codes) == std::variant_size_v<AnyEvent>);
static_assert(std::size(action_codes) == std::variant_size_v<AnyAction>);

template <class Body, std::size_t index = 0>
bool make(Body& body, std::uint8_t code, const std::uint8_t* codes) {
  if constexpr (index == std::variant_size_v<Body>) {
    return false;
  } else {
    if (codes[index] != code)
      return make<Body, index + 1>(body, code, codes);
    body.template emplace<index>();
    return true;
  }
}

template <class Body>
std::vector<Record<Body>> read_records(const std::string& frame, std::size_t from, std::uint32_t count,
                                       const std::uint8_t* codes) {
  std::vector<Record<Body>> records;
  std::size_t at = from;
  for (std::uint32_t i = 0; i < count; ++i) {
    Reader head(frame, at, frame.size(), "record " + std::to_string(i) + " of the frame");
    const auto code = head.raw<std::uint8_t>();
    const auto size = head.raw<std::uint32_t>();
    const std::size_t start = head.at();
    head.take(size);
    at = head.at();
    Record<Body> record;
    if (!make(record.body, code, codes))
      continue;
    Reader io(frame, start, at, "record " + std::to_string(i) + " (code " + std::to_string(code) + ")");
    io(record.dispatcher);
    std::visit([&](auto& body) { fields(io, body); }, record.body);
    records.push_back(std::move(record));
  }
  if (at != frame.size())
    throw FrameError("frame: " + std::to_string(frame.size() - at) + " bytes left over after its " +
                     std::to_string(count) + " records, at offset " + std::to_string(at));
  return records;
}

template <class Body>
void write_records(Writer& out, const std::vector<Record<Body>>& records, const std::uint8_t* codes) {
  for (const auto& record : records) {
    Writer io;
    io(record.dispatcher);
    auto body = record.body;
    std::visit([&](auto& alternative) { fields(io, alternative); }, body);
    out.raw(codes[record.body.index()]);
    out(io.bytes);
  }
}

void check_length(std::uint32_t stated, std::size_t actual) {
  if (stated != actual)
    throw FrameError("frame: length " + std::to_string(stated) + " stated at its start, " +
                     std::to_string(actual) + " bytes given");
}

}  // namespace

std::uint32_t frame_length(const std::string& bytes) {
  const auto length = Reader(bytes, 0, bytes.size(), "frame header").raw<std::uint32_t>();
  if (length < batch_header)
    throw FrameError("frame header: length " + std::to_string(length) +
                     " at offset 0 is shorter than the header");
  return length;
}

Batch decode_batch(const std::string& frame) {
  Reader io(frame, 0, frame.size(), "frame header");
  check_length(io.raw<std::uint32_t>(), frame.size());
  Batch batch;
  io(batch.now);
  const auto count = io.raw<std::uint32_t>();
  batch.records = read_records<AnyEvent>(frame, io.at(), count, event_codes);
  return batch;
}

std::string encode_batch(const Batch& batch) {
  Writer records;
  write_records(records, batch.records, event_codes);
  Writer frame;
  frame.raw(static_cast<std::uint32_t>(batch_header + records.bytes.size()));
  frame(batch.now);
  frame.raw(static_cast<std::uint32_t>(batch.records.size()));
  return frame.bytes + records.bytes;
}

std::string encode_reply(const Reply& reply) {
  Writer records;
  write_records(records, reply, action_codes);
  Writer frame;
  frame.raw(static_cast<std::uint32_t>(reply.size()));
  frame.raw(static_cast<std::uint32_t>(reply_header + records.bytes.size()));
  return frame.bytes + records.bytes;
}

Reply decode_reply(const std::string& frame) {
  Reader io(frame, 0, frame.size(), "reply header");
  const auto count = io.raw<std::uint32_t>();
  check_length(io.raw<std::uint32_t>(), frame.size());
  return read_records<AnyAction>(frame, io.at(), count, action_codes);
}

}  // namespace lemonroute::wire
