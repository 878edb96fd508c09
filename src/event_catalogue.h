#ifndef BULRUSHWAY_EVENT_CATALOGUE_H
#define BULRUSHWAY_EVENT_CATALOGUE_H

// The numbered events of the event log. Numbers are never reused; docs/EVENTS.md lists all events.

#include <cstdint>
#include <span>
#include <string_view>

namespace bulrushway {

/// Severity of an event.
enum class event_level { kInfo, kWarning, kError };

/// Number of an event. The first digit is the area: 1 process, 2 configuration, 3 ownership,
/// 4 requests, 5 transport.
enum class event_id : uint16_t {
  kStarted = 101,
  kStopping = 102,
  kStopped = 103,
  kSettingsRejected = 104,
  kServiceFailed = 105,

  kConfigurationAdopted = 201,
  kConfigurationRefused = 202,
  kConfigurationStale = 203,
  kConfigurationMissing = 204,
  kPlatformUnreachable = 205,
  kPlatformAnswersAgain = 206,
  kConfigurationFresh = 207,

  kLeaseLapsed = 302,
  kSlicesGained = 304,
  kSlicesLost = 305,
  kRowRefused = 306,
  kDuplicateNode = 307,
  kMemberJoined = 311,
  kMemberLeft = 312,
  kLeaseAcquired = 313,
  kOwnersChanged = 314,

  kTargetUp = 401,
  kTargetDown = 402,
  kTargetCold = 403,
  kRequestQuarantined = 404,
  kQuarantineReleased = 405,
  kAnswerCrossed = 406,
  kInFlightCut = 407,
  kDataCentreOut = 408,
  kDataCentreBack = 409,
  kHotKeys = 410,

  kLoopLate = 504,
  kPeerLost = 505,
  kPeerReachable = 506,
};

/// Catalogue entry of an event.
struct event_entry {
  event_id id;
  event_level level;
  std::string_view name;
  std::string_view meaning;
};

/// All events, in order of number.
std::span<const event_entry> EventCatalogue();

/// The entry of an event; every event_id has one.
const event_entry& FindEvent(event_id id);

}  // namespace bulrushway

#endif  // BULRUSHWAY_EVENT_CATALOGUE_H
