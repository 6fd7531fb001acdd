// Compression, status details, and the calls that `lemonroute call` does not make.
#include <gtest/gtest.h>

#include <random>
#include <sstream>

#include "cli/commands.h"
#include "grpc/compression.h"
#include "grpc/status_details.h"
#include "proto/rpc.pb.h"

namespace lemonroute::grpc {
namespace {

TEST(Compression, ThereAndBack) {
  std::mt19937 random(3);
  for (const auto encoding : {Encoding::identity, Encoding::gzip, Encoding::deflate})
    for (const std::size_t size : {0, 1, 100, 5000, 200000}) {
      std::string bytes(size, '\0');
      for (char& c : bytes)
        c = static_cast<char>(random() % 7);
      std::string back;
      EXPECT_EQ(decompress(encoding, compress(encoding, bytes), size, back), std::nullopt);
      EXPECT_EQ(back, bytes);
      if (size > 0 && encoding != Encoding::identity) {
        EXPECT_EQ(decompress(encoding, compress(encoding, bytes), size - 1, back),
                  Status::resource_exhausted);
      }
    }
}

TEST(Compression, ABombIsStoppedAtTheLimit) {
  for (const auto encoding : {Encoding::gzip, Encoding::deflate}) {
    const auto bomb = compress(encoding, std::string(64 * 1024 * 1024, '\0'));
    std::string back;
    EXPECT_EQ(decompress(encoding, bomb, 100000, back), Status::resource_exhausted);
    EXPECT_LE(back.capacity(), 300000u) << "no more was ever made";
  }
}

TEST(Compression, WhatIsNoStreamIsAFault) {
  std::string back;
  for (const auto encoding : {Encoding::gzip, Encoding::deflate}) {
    const auto good = compress(encoding, "abcabcabcabcabc");
    for (std::size_t cut = 0; cut < good.size(); ++cut)
      EXPECT_EQ(decompress(encoding, good.substr(0, cut), 1000, back), Status::internal) << cut;
    EXPECT_EQ(decompress(encoding, good + "x", 1000, back), Status::internal) << "something follows its end";
    EXPECT_EQ(decompress(encoding, "no such thing", 1000, back), Status::internal);
  }
}

TEST(Compression, Names) {
  EXPECT_EQ(parse_encoding(""), Encoding::identity);
  EXPECT_EQ(parse_encoding("gzip"), Encoding::gzip);
  EXPECT_EQ(parse_encoding("br"), std::nullopt);
  EXPECT_EQ(best_of("identity, deflate ,gzip"), Encoding::gzip);
  EXPECT_EQ(best_of("deflate,br"), Encoding::deflate);
  EXPECT_EQ(best_of("br,,"), Encoding::identity);
  for (const auto encoding : {Encoding::identity, Encoding::gzip, Encoding::deflate})
    EXPECT_EQ(parse_encoding(name_of(encoding)), encoding);
}

TEST(StatusDetails, TellProgramsWhatToDo) {
  const auto [name, value] =
      status_details(Status::unavailable, "refused", "REFUSED", std::chrono::milliseconds(1250));
  EXPECT_EQ(name, "grpc-status-details-bin");
  google::rpc::Status status;
  ASSERT_TRUE(status.ParseFromString(*from_base64(value)));
  EXPECT_EQ(status.code(), 14);
  google::rpc::RetryInfo retry;
  ASSERT_EQ(status.details_size(), 2);
  ASSERT_TRUE(status.details(1).UnpackTo(&retry));
  EXPECT_EQ(retry.retry_delay().seconds(), 1);
  EXPECT_EQ(retry.retry_delay().nanos(), 250000000);
  ASSERT_TRUE(
      status.ParseFromString(*from_base64(status_details(Status::internal, "", "NODES_FAILED", {}).second)));
  EXPECT_EQ(status.details_size(), 1) << "no time where there is none";
}

TEST(StatusDetails, Base64AndPercent) {
  for (const std::string text : {"", "a", "ab", "abc", "\xff\xfe"})
    EXPECT_EQ(from_base64(base64(text)), text);
  EXPECT_EQ(base64("ab"), "YWI") << "without padding";
  EXPECT_EQ(from_base64("YWI="), "ab") << "but taken with it";
  EXPECT_EQ(from_base64("Y*I"), std::nullopt);
  for (const std::string text : {"plain", "100 %", "\xc3\xa8", "a\nb"})
    EXPECT_EQ(percent_decoded(percent_encoded(text)), text);
  EXPECT_EQ(percent_encoded("a%\n"), "a%25%0A");
  EXPECT_EQ(percent_decoded("50%zz%4"), "50%zz%4");
}

TEST(Call, MisuseIsToldAndNothingIsSent) {
  const auto run = [](std::vector<std::string> arguments) {
    std::ostringstream out, err;
    arguments.insert(arguments.begin(), "call");
    const int code = cli::run(arguments, out, err);
    return std::pair(code, out.str() + err.str());
  };
  for (const std::vector<std::string>& bad : {std::vector<std::string>{},
                                              {"here"},
                                              {"127.0.0.1:1", "no.such/Method"},
                                              {"127.0.0.1:1", "--data", "{"},
                                              {"127.0.0.1:1", "--data", "{\"odd\":1}"},
                                              {"127.0.0.1:1", "--deadline", "5"},
                                              {"127.0.0.1:1", "--compress", "br"},
                                              {"127.0.0.1:1", "--metadata", "x"},
                                              {"127.0.0.1:1", "--metadata", "grpc-timeout=1S"},
                                              {"127.0.0.1:1", "--metadata", "x-bin=*"},
                                              {"127.0.0.1:1", "--file", "no/such/file"}})
    EXPECT_EQ(run(bad).first, 2) << (bad.empty() ? "" : bad.back());
  EXPECT_EQ(run({"--list"}).first, 0);
  EXPECT_NE(
      run({"--list"})
          .second.find("lemonroute.v1.Drafting/Generate (lemonroute.v1.GenerateRequest) returns (stream"),
      std::string::npos);
  EXPECT_EQ(run({"127.0.0.1:1", "--deadline", "1s"}),
            std::pair(1, std::string("lemonroute: no connection\n")));
}

}  // namespace
}  // namespace lemonroute::grpc
