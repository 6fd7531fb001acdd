// The processes of a scene and all that surrounds them: relays between them, devices, discovery. What it is
// told to do it does at once; nothing here waits.
#pragma once

#include <filesystem>
#include <map>
#include <memory>

#include "core/types.h"
#include "faults/links.h"
#include "net/loop.h"
#include "process/operator_file.h"
#include "process/process.h"
#include "relay/datagrams.h"
#include "relay/streams.h"
#include "stand_ins/device.h"
#include "stand_ins/discovery.h"
#include "watch/ledger.h"

namespace lemonroute::rig {

struct Options {
  std::string program;  // lemonroute
  bool peers = true;    // whether routers know each other
  bool keep = false;    // the folder with files and logs stays
  bool talks = false;   // each step is said
  double patience = 4;  // by which bounds are stretched: a step that holds costs nothing of it
  std::optional<std::uint64_t> seed;
};

// A folder that goes with the rig.
class Folder {
 public:
  explicit Folder(bool keep);
  ~Folder();
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  const std::filesystem::path& path() const { return path_; }

 private:
  bool keep_;
  std::filesystem::path path_;
};

class Fleet {
 public:
  struct Member {
    RouterLine line;
    std::string region;
    Places places;
    std::filesystem::path file, temp;
    std::unique_ptr<Process> process;
    std::unique_ptr<Discovery> discovery;
    bool ends = false;  // it was told to
  };

  Fleet(net::Loop& loop, const Clock& clock, const Scene& scene, const Options& options, Ledger& ledger,
        Cells& cells);

  void start(const std::string& router, bool state_lost = false);
  void kill(const std::string& router);
  void stop(const std::string& router);
  void go_on(const std::string& router);
  void term(const std::string& router);
  void device(const Step& step);  // restart, crash, drain, list, flush
  void link(const Step& step);
  void flood(const Step& step, Micros span);  // what falls due of it in that span

  Member& member(const std::string& name) { return members_.at(name); }
  std::map<std::string, Member>& members() { return members_; }
  bool running(const std::string& router, unsigned generation) const;
  const Counts& datagrams() const { return counts_; }
  const std::filesystem::path& folder() const { return folder_.path(); }

 private:
  std::string free_address();
  void write_keys();
  void relay_datagrams();
  void write_file(Member& member);
  void list(const std::string& device, const char* lifecycle);

  net::Loop& loop_;
  const Clock& clock_;
  const Scene& scene_;
  const Options& options_;
  Ledger& ledger_;
  Folder folder_;
  std::string host_, process_host_;  // of 127.0.0.0/8, this rig's alone
  Links links_;
  Counts counts_;
  std::map<std::string, Member> members_;
  std::map<std::string, std::unique_ptr<Device>> devices_;
  std::map<std::string, const DeviceLine*> lines_;
  std::vector<std::unique_ptr<DatagramRelay>> relays_;
  std::map<std::pair<std::string, std::string>, std::unique_ptr<StreamRelay>> ways_;  // router, device
  std::unique_ptr<Socket> stranger_;
  double owed_ = 0;  // datagrams of the flood
};

}  // namespace lemonroute::rig
