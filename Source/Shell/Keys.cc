#include "Shell/Keys.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <zmq.h>

#include <array>

#include "Base/Text.h"
#include "Shell/ControlStore.h"

namespace filbertwall {
namespace {

constexpr std::size_t kKeyLength = 40;
constexpr std::size_t kKeyBuffer = kKeyLength + 1;

}  // namespace

KeyPair MakeKeyPair() {
  std::array<char, kKeyBuffer> public_key{};
  std::array<char, kKeyBuffer> secret_key{};
  if (zmq_curve_keypair(public_key.data(), secret_key.data()) != 0) {
    return {};
  }
  return {.public_key = public_key.data(), .secret_key = secret_key.data()};
}

bool WriteKeyFile(const std::string& path, const KeyPair& keys) {
  const int fd = open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC,
                      S_IRUSR | S_IWUSR);
  if (fd < 0) {
    return false;
  }
  const std::string text = keys.public_key + "\n" + keys.secret_key + "\n";
  const bool written = write(fd, text.data(), text.size()) ==
                           static_cast<ssize_t>(text.size()) &&
                       fsync(fd) == 0;
  close(fd);
  return written;
}

KeyPair ReadKeyFile(const std::string& path, std::vector<Finding>& findings) {
  const auto report = [&](const std::string& expected) {
    findings.push_back(Finding{.file = path, .expected = expected});
    return KeyPair{};
  };
  struct stat status {};
  if (stat(path.c_str(), &status) != 0) {
    return report("a key file made by filbertwall keygen");
  }
  if ((status.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
    return report("a file that only its owner can read (chmod 600)");
  }
  const auto text = LoadFile(path);
  if (!text) {
    return report("a readable file");
  }
  const std::vector<std::string> lines = SplitAt(text.value(), '\n');
  if (lines.size() < 2 || lines[0].size() != kKeyLength ||
      lines[1].size() != kKeyLength) {
    return report("two lines: the public and the secret key");
  }
  return {.public_key = lines[0], .secret_key = lines[1]};
}

std::map<std::string, std::string> AllowedKeys(const Settings& settings) {
  std::map<std::string, std::string> allowed;
  for (const auto& [id, peer] : settings.peers) {
    allowed[peer.public_key] = "peer." + std::to_string(id);
  }
  for (const auto& [name, key] : settings.security.operators) {
    allowed[key] = "operator." + name;
  }
  return allowed;
}

}  // namespace filbertwall
