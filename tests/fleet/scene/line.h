// The words of one line of a scene, taken from the left. What does not fit ends the scene with file, line and
// reason.
#pragma once

#include "scene/scene.h"

namespace lemonroute::rig {

class Line {
 public:
  Line(const std::string& path, std::size_t number, const std::string& text);  // without its comment

  bool empty() const { return at_ == words_.size(); }
  std::size_t number() const { return number_; }
  const std::string& peek() const;     // "" at the end
  std::string take(const char* what);  // throws if there is none
  bool skip(const std::string& word);  // takes it if it is the next one
  void end() const;                    // throws if words are left
  std::string rest();                  // as it was written
  // The value of KEY=VALUE, if that is the next word.
  std::optional<std::string> option(const std::string& key);
  [[noreturn]] void fault(const std::string& why) const;

  std::uint32_t whole(const std::string& word, std::uint32_t least, std::uint32_t most) const;
  double part(const std::string& word) const;                  // 30%
  double rate(const std::string& word) const;                  // 20/s
  Micros span(const std::string& word) const;                  // 200ms, with a sign if it has one
  Names list(const std::string& word) const;                   // a,b,c
  static std::optional<Names> range(const std::string& word);  // c1..c24

 private:
  double number(const std::string& text, const char* what) const;
  std::string path_;
  std::size_t number_;
  std::vector<std::string> words_;
  std::size_t at_ = 0;
};

}  // namespace lemonroute::rig
