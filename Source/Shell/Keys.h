#pragma once

#include <map>
#include <string>
#include <vector>

#include "Base/Finding.h"
#include "Settings/Settings.h"

/// CURVE keys: files, and who may talk to an instance.
namespace filbertwall {

struct KeyPair {
  std::string public_key;  ///< Z85, 40 characters.
  std::string secret_key;
};

/// Makes a new pair. Empty keys when the library has no CURVE.
KeyPair MakeKeyPair();

/// Writes the pair to a file that only its owner can read. False on failure,
/// and when the file exists.
bool WriteKeyFile(const std::string& path, const KeyPair& keys);

/// Reads a pair; reports a file that others can read or that holds no keys.
KeyPair ReadKeyFile(const std::string& path, std::vector<Finding>& findings);

/// Public keys that may connect, with the identity each proves: `peer.ID` or
/// `operator.NAME`.
std::map<std::string, std::string> AllowedKeys(const Settings& settings);

}  // namespace filbertwall
