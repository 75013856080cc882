#pragma once

#include <map>
#include <string>
#include <vector>

#include "Base/Finding.h"
#include "Settings/Settings.h"

/// CURVE keys: key files, and the keys that may connect to an instance.
namespace filbertwall {

struct KeyPair {
  std::string public_key;  ///< Z85, 40 characters.
  std::string secret_key;
};

/// Generates a key pair. Returns empty keys when libzmq lacks CURVE support.
KeyPair MakeKeyPair();

/// Writes the pair to a new file that only its owner can read. Returns false on
/// failure or when the file exists.
bool WriteKeyFile(const std::string& path, const KeyPair& keys);

/// Reads a key pair. Adds a finding and returns empty keys when the file cannot
/// be read, is accessible to group or others, or holds no keys.
KeyPair ReadKeyFile(const std::string& path, std::vector<Finding>& findings);

/// Returns the public keys that may connect, each with the identity that it
/// authenticates: `peer.ID` or `operator.NAME`.
std::map<std::string, std::string> AllowedKeys(const Settings& settings);

}  // namespace filbertwall
