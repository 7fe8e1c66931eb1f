/// The site and the day that a RequestFleet plays, in the shape of the users' record of issue 41.
#pragma once

#include <string>

#include <laburnumroute/configuration.h>

#include "fakes/controller_fleet.h"

namespace laburnum::fakes {

// The users' grown site; smaller ones are in proportion.
inline constexpr double siteEntries = 120.0;
inline constexpr double siteRequestsPerSecond = 1050.0;

/// Data centre and region of the entry host or instance with this number.
DataCentreId dataCentreOf(std::size_t number);
RegionId regionOf(std::size_t number);

/// The operator's configuration 1, or one of the changes 2 and 3: other timeouts, objectives and
/// weights. Each route is named like its prefix, without the slash.
Configuration siteConfiguration(std::uint64_t number);

/// The target of a request, by a draw from [0, 1).
std::string drawTarget(double draw);

} // namespace laburnum::fakes
