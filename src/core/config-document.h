#ifndef LIMPETFALL_CORE_CONFIG_DOCUMENT_H_
#define LIMPETFALL_CORE_CONFIG_DOCUMENT_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/document.h"
#include "limpetfall/result.h"

namespace limpetfall {

/** One thing that is wrong with a document. */
struct ValidationError {
  std::string pointer;  ///< JSON pointer of the member at fault; empty for the whole document.
  std::string problem;

  friend bool operator==(const ValidationError&, const ValidationError&) = default;
};

/** A document and everything that is wrong with it; valid only without faults. */
struct DocumentValidation {
  Document document;
  std::vector<ValidationError> errors;
};

/** Parses and validates a document and lists every fault. */
DocumentValidation ValidateDocument(std::string_view json);

/**
 * Parses and validates a document. The error's message has one line for each fault, with its JSON
 * pointer:
 *
 *     /branches/0/models/1/version: model fold-plan has no version 9
 */
Result<Document> ParseDocument(std::string_view json);

/** Returns the canonical JSON: all members, in order of name, without white space. */
std::string SerializeDocument(const Document& document);

/** Returns the digest under which a section is stored: xxHash of 128 bits in hexadecimal. */
std::string SectionDigest(std::string_view body);

/** Names a part of the document and its content. */
struct SectionRef {
  std::string name;  ///< "models", "teams", "services", "policy" or "branch/<name>".
  std::string digest;

  friend bool operator==(const SectionRef&, const SectionRef&) = default;
};

/** Lists the sections of one accepted version. */
struct Manifest {
  ConfigVersion version = 0;
  std::vector<SectionRef> sections;  ///< Branches in the order of the document.
  std::string writer;                ///< Unique for each attempt to write a version.
  /// Writers of the versions just before this one, newest first. A writer that missed the reply to
  /// its own write finds itself here after others have written again.
  std::vector<std::string> earlier_writers;

  friend bool operator==(const Manifest&, const Manifest&) = default;
};

std::string SerializeManifest(const Manifest& manifest);
Result<Manifest> ParseManifest(std::string_view json);

/** Section bodies by digest. */
using SectionBodies = std::map<std::string, std::string>;

struct SplitDocument {
  std::vector<SectionRef> sections;
  SectionBodies bodies;
};

/** Splits a document into one section each for models, teams, services, policy and each branch. */
SplitDocument SplitIntoSections(const Document& document);

/** Joins the sections of a manifest; checks every digest and validates the whole document. */
Result<Document> JoinSections(const Manifest& manifest, const SectionBodies& bodies);

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_CONFIG_DOCUMENT_H_
