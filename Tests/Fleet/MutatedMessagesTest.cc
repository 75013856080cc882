#include <limits>
#include <random>
#include <string>
#include <vector>

#include "Distribution/BoundedParse.h"
#include "FleetWorld.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using Random = std::mt19937_64;

constexpr InstanceAddress kFirstEntry = 101;
constexpr std::size_t kMaxRecorded = 3000;

/// A message that one instance has sent to another.
struct SentMessage {
  InstanceAddress from = 0;
  InstanceAddress to = 0;
  std::string bytes;
};

std::uint64_t PickNumber(Random& random) {
  const std::vector<std::uint64_t> numbers = {
      0,
      1,
      77,
      UINT16_MAX + 1,
      UINT32_MAX,
      std::numeric_limits<std::uint64_t>::max(),
      std::numeric_limits<std::uint64_t>::max() - 1,
      random()};
  return numbers[random() % numbers.size()];
}

std::string PickText(Random& random) {
  const std::vector<std::string> texts = {"", "\xff\xfe", "p\xff", "cxxxxxxx",
                                          std::string(5000, 'x')};
  return texts[random() % texts.size()];
}

/// Sets a field that holds no submessage to an unusual value, or adds one to a
/// list.
void SetField(Message& message, const FieldDescriptor* field, Random& random) {
  const auto* reflection = message.GetReflection();
  const std::uint64_t number = PickNumber(random);
  const auto short_number = static_cast<std::uint32_t>(number);
  const bool list = field->is_repeated();
  switch (field->cpp_type()) {
    case FieldDescriptor::CPPTYPE_UINT64:
      list ? reflection->AddUInt64(&message, field, number)
           : reflection->SetUInt64(&message, field, number);
      return;
    case FieldDescriptor::CPPTYPE_UINT32:
      list ? reflection->AddUInt32(&message, field, short_number)
           : reflection->SetUInt32(&message, field, short_number);
      return;
    case FieldDescriptor::CPPTYPE_BOOL:
      reflection->SetBool(&message, field, number % 2 == 1);
      return;
    case FieldDescriptor::CPPTYPE_ENUM:
      reflection->SetEnumValue(&message, field, static_cast<int>(number % 99));
      return;
    case FieldDescriptor::CPPTYPE_STRING:
      list ? reflection->AddString(&message, field, PickText(random))
           : reflection->SetString(&message, field, PickText(random));
      return;
    default:
      return;
  }
}

/// Changes one field of the message or of a submessage.
void MutateField(Message& message, Random& random) {
  const auto* reflection = message.GetReflection();
  const auto* type = message.GetDescriptor();
  const FieldDescriptor* field =
      type->field(static_cast<int>(random() % type->field_count()));
  if (field->cpp_type() != FieldDescriptor::CPPTYPE_MESSAGE) {
    SetField(message, field, random);
  } else if (!field->is_repeated()) {
    // Setting another kind of a oneof would only replace the message.
    const bool present = reflection->HasField(message, field);
    if (present || field->containing_oneof() == nullptr) {
      MutateField(*reflection->MutableMessage(&message, field), random);
    }
  } else if (const int size = reflection->FieldSize(message, field); size > 0) {
    MutateField(*reflection->MutableRepeatedMessage(
                    &message, field, static_cast<int>(random() % size)),
                random);
  }
}

/// Returns a record or the routes of an update, or the update itself.
Message& PickTarget(wire::Update& update, Random& random) {
  const std::uint64_t choice = random() % 3;
  if (choice == 0 && update.servers_size() > 0) {
    return *update.mutable_servers(
        static_cast<int>(random() % update.servers_size()));
  }
  if (choice == 1 && update.has_routes()) {
    return *update.mutable_routes();
  }
  return update;
}

std::string MutateBytes(std::string bytes, const std::string& other,
                        Random& random) {
  if (bytes.empty() || other.empty()) {
    return bytes;
  }
  const std::size_t position = random() % bytes.size();
  switch (random() % 3) {
    case 0:
      bytes[position] = static_cast<char>(
          bytes[position] ^ static_cast<char>(1U << random() % 8));
      return bytes;
    case 1:
      return bytes.substr(0, position);
    default:
      return bytes.insert(position, other.substr(random() % other.size()));
  }
}

/// Returns a changed copy of a message, and sometimes the message itself.
std::string Mutate(const SentMessage& sent, const std::string& other,
                   Random& random) {
  if (random() % 2 == 0) {
    return MutateBytes(sent.bytes, other, random);
  }
  wire::FleetMessage message;
  message.ParseFromString(sent.bytes);
  if (message.has_update()) {
    UnpackUpdate(*message.mutable_update());
    MutateField(PickTarget(*message.mutable_update(), random), random);
  } else {
    MutateField(message, random);
  }
  return message.SerializeAsString();
}

}  // namespace

TEST_GROUP(MutatedMessages) {
  FleetWorld world;
  Random random;
  std::vector<SentMessage> recorded;

  /// Starts a fleet and records the messages of its first seconds.
  void Start(std::uint64_t seed) {
    this->world = MakeWorld(3, 2);
    this->random.seed(seed);
    this->recorded.clear();
    this->world.on_send = [this](InstanceAddress from,
                                 const SendMessage& effect) {
      // A changed message about the control log may be a valid one, which no
      // check can tell.
      if (!effect.message.has_control() &&
          this->recorded.size() < kMaxRecorded) {
        this->recorded.push_back({.from = from,
                                  .to = effect.to,
                                  .bytes = effect.message.SerializeAsString()});
      }
    };
    Run(this->world, Milliseconds(4000));
    CHECK(SubmitUntilAccepted(this->world, 5));
    Report(this->world, 1, "a1", 1);
    Report(this->world, 2, "a2", 1);
    Run(this->world, Milliseconds(1000));
    CHECK(SubmitUntilAccepted(this->world, 6));
    this->world.on_send = [](InstanceAddress, const SendMessage&) {};
  }

  const SentMessage& PickRecorded() {
    return this->recorded[this->random() % this->recorded.size()];
  }

  void DeliverMutated() {
    const SentMessage sent = this->PickRecorded();
    PeerMessage event{.from = sent.from};
    if (!ParseBounded(event.message,
                      Mutate(sent, this->PickRecorded().bytes, this->random),
                      kMaxMessageMemory) ||
        event.message.has_control()) {
      return;
    }
    if (sent.to >= kFirstEntry) {
      Apply(this->world, sent.to, EntryEvent(event));
    } else {
      Apply(this->world, sent.to, ControlInstanceEvent(event));
    }
  }

  void DeliverManyMutated() {
    constexpr int kRounds = 60;
    constexpr int kMessagesPerRound = 100;
    for (int round = 0; round < kRounds; ++round) {
      for (int i = 0; i < kMessagesPerRound; ++i) {
        this->DeliverMutated();
      }
      Run(this->world, Milliseconds(25));
    }
  }

  void CheckLaterConfigAndServers() {
    this->world.rules_address = "10.0.0.2:81";
    CHECK(SubmitUntilAccepted(this->world, 50));
    Report(this->world, 1, "b1", 1);
    Report(this->world, 2, "b2", 1);
    Run(this->world, Milliseconds(2000));
    Report(this->world, 3, "b2", 2, wire::SERVER_DRAINING);
    Run(this->world, Milliseconds(2000));
    const auto address = ParseEndpoint(this->world.rules_address);
    for (const auto& [id, entry] : this->world.entries) {
      CHECK(IsReady(entry));
      CHECK_EQUAL(50, VersionAt(this->world, id));
      CHECK(entry.forwarder.routes.routes.contains(KeyOf(*address)));
      CHECK(IsUsableAt(this->world, id, "b1"));
      CHECK_FALSE(IsUsableAt(this->world, id, "b2"));
      CHECK(entry.sources.size() <= kMaxControlInstances);
      CHECK(entry.set_aside.Get(InputError::kNotUtf8) > 0);
      CHECK(entry.set_aside.Get(InputError::kOutOfRange) > 0);
    }
  }
};

TEST(MutatedMessages, HideNoLaterConfigAndNoLaterServer) {
  constexpr std::uint64_t kSeeds = 12;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    this->Start(seed);
    this->DeliverManyMutated();
    this->CheckLaterConfigAndServers();
  }
}
