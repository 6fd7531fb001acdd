// Stand-ins for the review's cases: prefill and decode nodes, the discovery agent, clients, and the start of
// the program under test. One thread for each connection; everything is on 127.0.0.1 and the real clock.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace stage {

double now();  // seconds since the case began
double unix_time();
void sleep_for(double seconds);
void sleep_until(double at);  // a time of now()

// Writes record.txt, a line for each event, with the time in seconds.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream file_;
};
void open_record(const std::string& path);
void say(const std::string& text);
std::string figure(double value);

// A blocking TCP connection.
class Socket {
 public:
  explicit Socket(int fd = -1) : fd_(fd) {}
  ~Socket() { close(); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  static int connect_to(int port);
  int fd() const { return fd_; }
  bool send(const std::string& bytes);
  // Reads more into buffer(). 1: something came, 0: nothing within `seconds`, -1: the peer has ended, -2: a
  // reset.
  int receive(double seconds);
  std::string& buffer() { return buffer_; }
  bool ended() const { return ended_; }
  void close();
  void reset();  // closes with a reset

 private:
  int fd_;
  bool ended_ = false;
  std::string buffer_;
};

struct Message {
  std::string start, body;
  std::map<std::string, std::string> fields;  // names in lower case
  std::string field(const std::string& name) const;
};
// Reads one head, and the body of Content-Length bytes. False if the peer ended or `seconds` have passed.
bool read_message(Socket& socket, Message& message, double seconds);

int listen_any(int& port);  // on 127.0.0.1; the port is written to `port`

// One attempt that a node has got whole.
struct Attempt {
  std::string node, id;
  double arrived = 0, ended = 0;  // ended 0: it is still out
  double told = 0;                // Req-Deadline, in seconds
  bool reads = false;
};

// What the nodes know together: which of them holds a state, and all attempts.
struct Fleet {
  std::mutex mutex;
  std::map<std::string, std::set<std::string>> held;  // id: nodes
  std::vector<Attempt> attempts;
  std::vector<std::string> doubles;  // breaches: an attempt arrived while another of its id was out

  std::size_t arrives(const std::string& node, const std::string& id, double told, bool reads);
  void ends(std::size_t attempt);
  void hold(const std::string& node, const std::string& id);
  bool take(const std::string& id);
  void release(const std::string& id);
};

struct NodeSettings {
  double read_time = 0.1;    // of a reader, until its 202
  double first_time = 0.15;  // of a writer, until the first event
  double event_gap = 0.24;   // between events
  int events = 60;
};

// A reader or a writer.
class Node {
 public:
  Node(Fleet& fleet, std::string name, bool reader, NodeSettings settings);
  ~Node();
  int port() const { return port_; }
  const std::string& name() const { return name_; }
  bool reader() const { return reader_; }
  // Asked before each step of an attempt; while it returns true, the node does nothing for that attempt.
  std::function<bool(const std::string& id, int events_sent)> hangs;
  // Asked before the first event of a stream; with true the connection is reset.
  std::function<bool(const std::string& id)> breaks;

 private:
  void accept_all();
  void serve(int fd);
  bool pause(Socket& socket, double seconds);  // false: the peer has ended
  void read(Socket& socket, const std::string& id, std::size_t attempt);
  bool write(Socket& socket, const std::string& id, std::size_t attempt);

  Fleet& fleet_;
  std::string name_;
  bool reader_;
  NodeSettings settings_;
  int port_ = 0, listener_ = -1;
  std::atomic<bool> over_{false};
  std::atomic<int> visits_{0};
  std::thread accepter_;
};

// The agent that has the list of nodes.
class Discovery {
 public:
  Discovery();
  ~Discovery();
  int port() const { return port_; }
  void list(const Node& node, const std::string& zone, int cell, const std::string& lifecycle);
  std::string known();  // the whole list as JSON

 private:
  struct Entry {
    std::string json;
    unsigned since = 0;
  };
  void accept_all();
  void serve(int fd);
  std::string changes(unsigned after, bool whole);
  std::mutex mutex_;
  std::map<std::string, Entry> entries_;
  unsigned generation_ = 40;
  int port_ = 0, listener_ = -1;
  std::atomic<bool> over_{false};
  std::atomic<int> visits_{0};
  std::thread accepter_;
};

struct Platform {
  std::string folder;  // TMPDIR of the program, and where its files are
  std::string run;     // the command of the deploy file
  std::string root;    // the project's folder
  bool alone = false;  // started with an operator's file and nothing else
  int listen = 0;      // the clients' port
  int discovery = 0;
  std::string idempotency = "\"idempotency\":\"read_like\"";
  double deadline = 7.5;
  int memory_mb = 192;
  std::string extra;  // further members of the settings' "limits"
};
// Writes the configuration file; returns its path.
std::string write_config(const Platform& platform, const std::string& known, const std::string& name);

// The program. Ended with SIGKILL by the destructor if it still runs.
class Process {
 public:
  Process(const Platform& platform, const std::string& config, int management, int socket, std::string name);
  ~Process();
  void signal(int number);
  bool ended(int& status);  // reaps it
  bool wait(double seconds);
  const std::string& name() const { return name_; }
  // RssAnon of the process, in kB: its own pages, without those of files such as the libraries. 0 once it has
  // ended.
  long memory() const;

 private:
  std::string name_;
  pid_t pid_ = -1;
  bool over_ = false;
  int status_ = 0;
};

int free_port();
// Status of a GET or POST without a body; 0: no answer.
int call(int port, const std::string& method, const std::string& target, std::string* body = nullptr);
bool wait_ready(int port, const std::string& target, double seconds);

struct Question {
  std::string id, kind = "estratto";
  double deadline = 7.5;
  std::size_t size = 8000;  // bytes of the body
  std::vector<double>
      pieces{};  // times of now() at which parts of the body leave, the last part at the last time
  bool keep = false;
};
struct Answer {
  int status = 0;
  int events = 0;
  double asked = 0, head_at = 0, last_event_at = 0, ended_at = 0;
  bool whole = false;                    // a complete answer: the last chunk, or a body of the stated length
  bool done = false;                     // the event [DONE] was among the events
  std::string how;                       // how the connection ended, if the answer is not whole
  std::atomic<int>* progress = nullptr;  // counts events while they come
};
std::string request_text(const Question& question, int port, std::size_t& head_size);
Answer ask(int port, const Question& question, double patience, std::atomic<int>* progress = nullptr);
// Reads one answer from a connection on which a request was written.
void read_answer(Socket& socket, Answer& answer, double until, std::atomic<int>* progress = nullptr);

bool trouble();  // false with TROUBLE=0
[[noreturn]] void cannot_run(const std::string& why);
int verdict(const std::vector<std::string>& breaches);

}  // namespace stage
