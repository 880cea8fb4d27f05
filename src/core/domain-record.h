#ifndef LIMPETFALL_CORE_DOMAIN_RECORD_H_
#define LIMPETFALL_CORE_DOMAIN_RECORD_H_

#include <string>

#include "core/types.h"
#include "limpetfall/result.h"

namespace limpetfall {

/** A domain record together with the identifier of its writer, as stored. */
struct StoredDomainRecord {
  DomainRecord record;
  std::string writer;  ///< Unique for each write, so that a lost reply can be resolved.

  friend bool operator==(const StoredDomainRecord&, const StoredDomainRecord&) = default;
};

/** Returns the store key of the domain's record. */
std::string DomainRecordKey(const DomainId& domain);

std::string SerializeDomainRecord(const DomainRecord& record, const std::string& writer);

/** Parses a stored record. Fails if a VM or group is listed twice, or if the generation of a group
 * is above `last_generation`. */
Result<StoredDomainRecord> ParseDomainRecord(const std::string& text, std::int64_t revision);

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_DOMAIN_RECORD_H_
