#include "grpc/reflection.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/descriptor.pb.h>

#include <set>

#include "proto/health.pb.h"
#include "proto/lemonroute.pb.h"
#include "proto/reflection.pb.h"

namespace lemonroute::grpc {
namespace {

namespace reflection = ::grpc::reflection::v1;
using google::protobuf::DescriptorPool;
using google::protobuf::FileDescriptor;

constexpr const char* services[] = {"lemonroute.v1.Drafting", "grpc.health.v1.Health",
                                    "grpc.reflection.v1.ServerReflection"};

// A file with all that it imports, so that a tool needs not ask for each.
void add(const FileDescriptor& file, std::set<std::string>& seen, reflection::FileDescriptorResponse& to) {
  if (!seen.insert(std::string(file.name())).second)
    return;
  google::protobuf::FileDescriptorProto proto;
  file.CopyTo(&proto);
  to.add_file_descriptor_proto(proto.SerializeAsString());
  for (int i = 0; i < file.dependency_count(); ++i)
    add(*file.dependency(i), seen, to);
}

class Info : public Method {
 public:
  explicit Info(ServerCall& call) : call_(call) {}

 private:
  bool streams() const override { return true; }
  void half_closed() override { call_.finish(Status::ok, ""); }
  void message(std::string_view bytes) override {
    reflection::ServerReflectionRequest request;
    if (!request.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
      return call_.finish(Status::invalid_argument, "the message can't be read");
    reflection::ServerReflectionResponse response;
    response.set_valid_host(request.host());
    *response.mutable_original_request() = request;
    const auto* pool = DescriptorPool::generated_pool();
    const FileDescriptor* file = nullptr;
    const auto none = [&](Status status, const char* text) {
      response.mutable_error_response()->set_error_code(static_cast<int>(status));
      response.mutable_error_response()->set_error_message(text);
    };
    switch (request.message_request_case()) {
      case reflection::ServerReflectionRequest::kListServices:
        for (const char* name : services)
          response.mutable_list_services_response()->add_service()->set_name(name);
        break;
      case reflection::ServerReflectionRequest::kFileByFilename:
        file = pool->FindFileByName(request.file_by_filename());
        if (!file)
          none(Status::not_found, "there is no such file");
        break;
      case reflection::ServerReflectionRequest::kFileContainingSymbol:
        file = pool->FindFileContainingSymbol(request.file_containing_symbol());
        if (!file)
          none(Status::not_found, "there is no such symbol");
        break;
      case reflection::ServerReflectionRequest::kFileContainingExtension:
      case reflection::ServerReflectionRequest::kAllExtensionNumbersOfType:
        none(Status::not_found, "there are no extensions");
        break;
      default:
        none(Status::invalid_argument, "nothing is asked for");
    }
    std::set<std::string> seen;
    if (file)
      add(*file, seen, *response.mutable_file_descriptor_response());
    call_.send_message(response);
  }
  ServerCall& call_;
};

}  // namespace

std::unique_ptr<Method> Reflection::open(std::string_view path, const Headers&, ServerCall& call) {
  // Version 1 and the one before it are the same on the wire.
  if (path != "/grpc.reflection.v1.ServerReflection/ServerReflectionInfo" &&
      path != "/grpc.reflection.v1alpha.ServerReflection/ServerReflectionInfo")
    return nullptr;
  // Guards against a linker that leaves out descriptors which nothing else mentions.
  static_cast<void>(v1::GenerateRequest::descriptor());
  static_cast<void>(::grpc::health::v1::HealthCheckRequest::descriptor());
  return std::make_unique<Info>(call);
}

}  // namespace lemonroute::grpc
