#pragma once

#include <string>

/// Log records and their numbered events, which docs/EVENTS.md lists.
namespace filbertwall {

enum class EventId {
  kStarted = 1001,
  kServing = 1002,
  kStopping = 1003,
  kStopped = 1004,
  kSettingsRejected = 1005,
  kSettingsReloaded = 1006,
  kEndedByItself = 1007,
  kLeaderElected = 2001,
  kLeadershipLost = 2002,
  kVotersChanged = 2003,
  kLogTailTruncated = 2004,
  kLogCorrupt = 2005,
  kSyncFailed = 2006,
  kDiskRestored = 2007,
  kInSync = 2008,
  kOutOfSync = 2009,
  kRulesInForce = 2010,
  kSubmissionResult = 2011,
  kRulesUnreadable = 2012,
  kStandbyAdded = 2013,
  kStandbyRemoved = 2014,
  kStandbyProgress = 2015,
  kDeparture = 2016,
  kEvacuationAccepted = 2020,
  kEvacuationInForce = 2021,
  kEvacuationWithdrawn = 2022,
  kEvacuationRefused = 2023,
  kEvacuationUnknown = 2024,
  kPeerAlive = 3001,
  kPeerSilent = 3002,
  kPeerRestarted = 3003,
  kControlInstanceLost = 3004,
  kControlInstanceSelected = 3005,
  kBackendChanged = 3010,
  kAnnouncementRejected = 3011,
  kServerChanged = 3012,
  kReportUnconfirmed = 3013,
  kRegistryNotSaved = 3014,
  kServerFailingChanged = 3015,
  kWarmupStarted = 3020,
  kWarmupFlowsRefused = 3021,
  kWarmupLeasesWait = 3022,
  kWarmupLeasesMissing = 3023,
  kServerSlownessChanged = 3025,
  kDataCentreDiverted = 3026,
  kDataCentreNotDiverted = 3027,
  kTokenShared = 3028,
  kTokenMissing = 3029,
  kOrderRecordsRestored = 4001,
  kMalformedInput = 5001,
  kRecordSetAside = 5002,
  kFlowPlaced = 6001,
  kFlowRefused = 6002,
  kPacketDropped = 6003,
  kClassRefused = 6010,
  kCapacityChanged = 6011,
  kCallersLimited = 6012,
  kHedgesOverBudget = 6015,
  kUnknownRegion = 6016,
};

enum class Severity { kInfo, kWarning, kError };

struct LogRecord {
  EventId id = EventId::kStarted;
  Severity severity = Severity::kInfo;
  std::string text;
};

}  // namespace filbertwall
