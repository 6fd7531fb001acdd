// The sub-commands of the command line.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace lemonroute::cli {

// Runs the command that `arguments` (without the program's name) give, and returns the exit code: 0, 1 for a
// fault in what a command works on, 2 for a call that is not understood.
int run(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err);

// The commands that have a file of their own.
int expect_init_command(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err);
int expect_check_command(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err);
int expect_compare_command(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err);
int expect_audit_command(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err);
int call_command(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err);
int demo_command(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err);

// Writes `text` to the file, and says so on `out`, or why not on `err`; returns the exit code.
int write_new(const std::string& path, const std::string& text, std::ostream& out, std::ostream& err);

}  // namespace lemonroute::cli
