// Datagrams between two processes of one machine, as the test itself sends and receives them.
#pragma once

#include <string>
#include <vector>

namespace lemonroute::formats {

// Two connections, each open as long as this is.
class TwoDescriptors {
 public:
  TwoDescriptors();
  ~TwoDescriptors();
  TwoDescriptors(const TwoDescriptors&) = delete;
  TwoDescriptors& operator=(const TwoDescriptors&) = delete;
  int first() const { return both_[0]; }
  int second() const { return both_[1]; }

 private:
  int both_[2];
};

// Whether both are one and the same file, under whatever numbers.
bool same_file(int one, int other);

struct Datagram {
  std::string text;
  std::vector<int> descriptors;  // the receiver's to close
};

// The receiving end at a path.
class DatagramSocket {
 public:
  explicit DatagramSocket(const std::string& path);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;
  Datagram receive();  // an empty one where none waits

 private:
  int fd_;
};

// To whoever receives at `path`; false: it did not go.
bool send_datagram(const std::string& path, const Datagram& datagram);

}  // namespace lemonroute::formats
