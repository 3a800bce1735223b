// Weighted rendezvous hashing: every instance computes the same order of nodes for a key, with minimal
// disruption.
#pragma once

#include <cstdint>

namespace jasminequay
{

/// Returns the score of a node for a key; the node with the highest score comes first. `weight` must be above
/// zero. Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998; the
/// logarithmic weighting is from Schindelhauer and Schomaker, "Weighted Distributed Hash Tables", 2005.
double rendezvousScore(std::uint64_t key, std::uint64_t node, double weight);

} // namespace jasminequay
