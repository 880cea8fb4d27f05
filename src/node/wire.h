#ifndef LIMPETFALL_NODE_WIRE_H_
#define LIMPETFALL_NODE_WIRE_H_

#include <optional>

#include "core/types.h"
#include "node/node.capnp.h"

// Internal to the package: conversion between core types and Cap'n Proto messages.

namespace limpetfall::detail {

void WriteNodeInfo(const NodeInfo& info, wire::NodeInfo::Builder builder);

/** Returns nothing if a field is missing, too long or has an unknown value. */
std::optional<NodeInfo> ReadNodeInfo(wire::NodeInfo::Reader reader);

void WriteEntry(const SharedEntry& entry, TimePoint now, wire::Entry::Builder builder);

/** Reads an entry that was sent `age` ago. Returns nothing if it is invalid or has expired. */
std::optional<SharedEntry> ReadEntry(wire::Entry::Reader reader, Milliseconds age, TimePoint now);

}  // namespace limpetfall::detail

#endif  // LIMPETFALL_NODE_WIRE_H_
