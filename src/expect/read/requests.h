// Reads the requests that the steps of a case ask for, now or in the past.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "expect/case.h"

namespace lemonroute::expect {

class RequestReader {
 public:
  // `made`: the case as far as it is read; its nodes are needed. All of them outlive this.
  RequestReader(const Setup& setup, const Case& made) : setup_(setup), case_(made) {}

  // A step { ask = { ... } }. Nothing if it is no table.
  std::optional<Ask> read_now(Section& outer);
  // A step { past = { ... } }. Nothing if it is no table.
  std::optional<Ask> read_past(Section& outer);
  // A step { report = { ... } }: a report comes with an answer, so a small request of that moment brings it.
  // Nothing if it can't be played.
  std::optional<Ask> read_report(Section& outer);

  // Names of the requests that steps have asked for so far.
  const std::set<std::string>& asked() const { return asked_; }

 private:
  void read_class(Section& in, std::string& name) const;
  void read_tenant(Section& in, std::string& name) const;
  void read_size(Section& in, Ask& ask) const;
  void read_place(Section& in, const char* key, std::string& name, Role wrong) const;
  void read_load(Section& in, std::string_view key, std::string& to) const;
  std::string next_past() { return "past" + std::to_string(++pasts_); }

  const Setup& setup_;
  const Case& case_;
  std::set<std::string> asked_;
  std::size_t pasts_ = 0;
};

}  // namespace lemonroute::expect
