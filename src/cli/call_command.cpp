// lemonroute call: one gRPC call to one of our own services, JSON in and out, for staff and for tests.
#include <google/protobuf/dynamic_message.h>
#include <google/protobuf/util/json_util.h>

#include <charconv>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include "base/log.h"
#include "base/span_text.h"
#include "cli/arguments.h"
#include "cli/commands.h"
#include "grpc/compression.h"
#include "grpc/session.h"
#include "grpc/status_details.h"
#include "proto/health.pb.h"
#include "proto/lemonroute.pb.h"
#include "proto/reflection.pb.h"
#include "proto/rpc.pb.h"

namespace lemonroute::cli {
namespace {

using google::protobuf::DescriptorPool;
using google::protobuf::Message;
using google::protobuf::MethodDescriptor;

constexpr std::chrono::seconds grace{2};  // beyond the deadline, for the server's own word on it

const char* name_of(int status) {
  static constexpr const char* names[] = {
      "OK",        "CANCELLED",      "UNKNOWN",           "INVALID_ARGUMENT",   "DEADLINE_EXCEEDED",
      "NOT_FOUND", "ALREADY_EXISTS", "PERMISSION_DENIED", "RESOURCE_EXHAUSTED", "FAILED_PRECONDITION",
      "ABORTED",   "OUT_OF_RANGE",   "UNIMPLEMENTED",     "INTERNAL",           "UNAVAILABLE",
      "DATA_LOSS", "UNAUTHENTICATED"};
  return status >= 0 && status < 17 ? names[status] : "?";
}

class OneCall : grpc::SessionOwner, grpc::StreamEvents {
 public:
  OneCall(const MethodDescriptor& method, std::ostream& out, std::ostream& err)
      : method_(method), out_(out), err_(err) {}

  int run(const std::string& address, const std::string& framed, const grpc::Headers& more,
          std::chrono::microseconds deadline) {
    grpc::SessionOwner& owner = *this;
    session_ = std::make_unique<grpc::Session>(loop_, address, owner, grpc::Session::Limits{});
    grpc::Headers headers{
        {":method", "POST"},
        {":scheme", "http"},
        {":path", "/" + std::string(method_.service()->full_name()) + "/" + std::string(method_.name())},
        {":authority", address},
        {"content-type", "application/grpc"},
        {"te", "trailers"},
        {"grpc-accept-encoding", std::string(grpc::accepted_encodings)},
        {"grpc-timeout", grpc::timeout_text(deadline)}};
    headers.insert(headers.end(), more.begin(), more.end());
    session_->request(headers, framed, *this);
    late_.start(deadline + grace);
    loop_.run();
    return report();
  }

 private:
  void headers(const grpc::Headers& headers) override {
    if (const auto encoding = grpc::find(headers, "grpc-encoding"); !encoding.empty())
      reader_.encoding(grpc::parse_encoding(encoding).value_or(grpc::Encoding::identity));
    for (const auto& [name, value] : headers)
      if (name == "grpc-status")
        std::from_chars(value.data(), value.data() + value.size(), status_), has_status_ = true;
      else if (name == "grpc-message")
        message_ = grpc::percent_decoded(value);
      else if (name == "grpc-retry-pushback-ms")
        pushback_ = value;
      else if (name == "grpc-status-details-bin")
        details_ = value;
      else if (name == ":status" && value != "200")
        http_ = value;
  }
  void data(std::string_view piece) override {
    const auto fault = reader_.feed(piece, [this](std::string_view bytes) {
      std::unique_ptr<Message> answer(factory_.GetPrototype(method_.output_type())->New());
      std::string json;
      google::protobuf::util::JsonPrintOptions options;
      options.preserve_proto_field_names = true;
      if (!answer->ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        json = "a message that can't be read";
      else
        static_cast<void>(google::protobuf::util::MessageToJsonString(*answer, &json, options));
      out_ << json << std::endl;
    });
    if (fault)
      err_ << "an answer can't be read\n";
  }
  void closed(std::uint32_t, bool sent) override {
    sent_ = sent;
    loop_.stop();
  }
  void closed(grpc::Session&) override { loop_.stop(); }

  int report() {
    if (!has_status_) {
      err_ << "lemonroute: "
           << (!http_.empty() ? "the server answered HTTP " + http_
               : sent_        ? "the connection ended without a status"
                              : "no connection")
           << '\n';
      return faulty;
    }
    if (status_ == 0)
      return fine;
    err_ << "status " << status_ << " " << name_of(status_) << ": " << message_ << '\n';
    google::rpc::Status details;
    if (const auto bytes = grpc::from_base64(details_);
        !details_.empty() && bytes && details.ParseFromString(*bytes))
      for (const auto& one : details.details()) {
        google::rpc::ErrorInfo info;
        if (one.UnpackTo(&info))
          err_ << "reason " << info.reason() << " of " << info.domain() << '\n';
      }
    if (!pushback_.empty())
      err_ << "to be tried again after " << pushback_ << " ms\n";
    return faulty;
  }

  const MethodDescriptor& method_;
  std::ostream &out_, &err_;
  google::protobuf::DynamicMessageFactory factory_;
  net::Loop loop_;
  net::Timer late_{loop_, [this] { loop_.stop(); }};
  grpc::MessageReader reader_;
  int status_ = 0;
  bool has_status_ = false, sent_ = false;
  std::string message_, pushback_, details_, http_;
  std::unique_ptr<grpc::Session> session_;
};

const std::vector<const google::protobuf::FileDescriptor*>& files() {
  static const std::vector<const google::protobuf::FileDescriptor*> all{
      v1::GenerateRequest::descriptor()->file(), ::grpc::health::v1::HealthCheckRequest::descriptor()->file(),
      ::grpc::reflection::v1::ServerReflectionRequest::descriptor()->file()};
  return all;
}

std::string data_of(const po::variables_map& values) {
  const std::string file = known(values, "file");
  if (file.empty())
    return known(values, "data");
  std::ostringstream text;
  if (file == "-") {
    text << std::cin.rdbuf();
  } else {
    std::ifstream from(file);
    if (!from)
      throw Misuse("--file: " + file + " cannot be read");
    text << from.rdbuf();
  }
  return text.str();
}

}  // namespace

int call_command(const Arguments& arguments, std::ostream& out, std::ostream& err) {
  Usage usage{
      "call ADDRESS [SERVICE/METHOD] [--data JSON] [--deadline TIME] [--metadata NAME=VALUE]... [--compress "
      "gzip|deflate]",
      "One gRPC call, lemonroute.v1.Drafting/Generate unless another is named. Each message of the answer is "
      "a line of\n"
      "JSON; a status other than OK is told on standard error, with exit code 1. --list names the methods."};
  usage.options.add_options()("address", po::value<std::string>(), "IP:PORT of the gRPC front")(
      "method", po::value<std::string>()->default_value("lemonroute.v1.Drafting/Generate"), "SERVICE/METHOD")(
      "data,d", po::value<std::string>()->default_value("{}"), "the request as JSON")(
      "file,f", po::value<std::string>(), "a file with it, - for standard input")(
      "deadline,t", po::value<std::string>()->default_value("10s"), "how long to wait, with its unit")(
      "metadata,m", po::value<std::vector<std::string>>(),
      "a field to send along; of one that ends in -bin the value is base64")(
      "compress,z", po::value<std::string>(), "how the request is compressed: gzip or deflate")(
      "list", po::bool_switch(), "the methods, with their messages");
  usage.places = {"address", "method"};
  const auto values = parse(arguments, usage);
  if (values["list"].as<bool>()) {
    for (const auto* file : files())
      for (int i = 0; i < file->service_count(); ++i)
        for (int j = 0; j < file->service(i)->method_count(); ++j) {
          const auto& method = *file->service(i)->method(j);
          out << file->service(i)->full_name() << '/' << method.name() << " ("
              << (method.client_streaming() ? "stream " : "") << method.input_type()->full_name()
              << ") returns (" << (method.server_streaming() ? "stream " : "")
              << method.output_type()->full_name() << ")\n";
        }
    return fine;
  }
  const std::string address = known(values, "address");
  if (address.empty())
    throw Misuse("an address is missing");
  try {
    net::SocketAddress{address};
  } catch (const std::invalid_argument& error) {
    throw Misuse(error.what());
  }
  std::string path = known(values, "method");
  if (const auto slash = path.find('/'); slash != std::string::npos)
    path[slash] = '.';
  static_cast<void>(files());
  const auto* method = DescriptorPool::generated_pool()->FindMethodByName(path);
  if (!method)
    throw Misuse("there is no method '" + known(values, "method") + "'; see lemonroute call --list");
  const auto deadline = parse_span(known(values, "deadline"));
  if (!deadline || *deadline <= std::chrono::microseconds(0))
    throw Misuse("--deadline: '" + known(values, "deadline") + "' is no time with its unit, like 5s");
  const auto encoding = grpc::parse_encoding(known(values, "compress"));
  if (!encoding)
    throw Misuse("--compress: '" + known(values, "compress") + "' is not gzip or deflate");
  grpc::Headers more;
  if (*encoding != grpc::Encoding::identity)
    more.emplace_back("grpc-encoding", grpc::name_of(*encoding));
  if (values.count("metadata"))
    for (const auto& one : values["metadata"].as<std::vector<std::string>>()) {
      const auto equals = one.find('=');
      if (equals == std::string::npos || equals == 0 || one.starts_with("grpc-") || one.starts_with(":"))
        throw Misuse("--metadata: '" + one + "' is no NAME=VALUE of one's own");
      std::string name = one.substr(0, equals);
      for (char& c : name)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
      if (name.ends_with("-bin") && !grpc::from_base64(one.substr(equals + 1)))
        throw Misuse("--metadata: the value of '" + name + "' is no base64");
      more.emplace_back(name, one.substr(equals + 1));
    }
  google::protobuf::DynamicMessageFactory factory;
  std::unique_ptr<Message> request(factory.GetPrototype(method->input_type())->New());
  if (const auto read = google::protobuf::util::JsonStringToMessage(data_of(values), request.get());
      !read.ok())
    throw Misuse("--data: no " + std::string(method->input_type()->full_name()) + ": " +
                 std::string(read.message()));
  // What nobody wants to make up by hand: a request must have an id that is new.
  if (const auto* id = method->input_type()->FindFieldByName("id");
      id && method->service()->full_name() == "lemonroute.v1.Drafting" &&
      request->GetReflection()->GetString(*request, id).empty())
    request->GetReflection()->SetString(
        request.get(), id,
        "call-" + std::to_string(std::chrono::system_clock::now().time_since_epoch().count()));
  std::signal(SIGPIPE, SIG_IGN);
  const std::string bytes = request->SerializeAsString();
  std::string framed = grpc::frame(bytes);
  if (*encoding != grpc::Encoding::identity) {
    framed = grpc::frame(grpc::compress(*encoding, bytes));
    framed[0] = 1;  // it is asked for, however short the request
  }
  return OneCall(*method, out, err).run(address, framed, more, *deadline);
}

}  // namespace lemonroute::cli
