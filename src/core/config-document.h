#ifndef LIMPETFALL_CORE_CONFIG_DOCUMENT_H_
#define LIMPETFALL_CORE_CONFIG_DOCUMENT_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/document.h"
#include "limpetfall/result.h"

namespace limpetfall {

/** An error found in a document. */
struct ValidationError {
  std::string pointer;  ///< JSON pointer of the invalid member; empty for the whole document.
  std::string problem;

  friend bool operator==(const ValidationError&, const ValidationError&) = default;
};

/** A parsed document and all errors found in it. The document is valid only if `errors` is empty.
 */
struct DocumentValidation {
  Document document;
  std::vector<ValidationError> errors;
};

/** Parses and validates a document and returns all errors. */
DocumentValidation ValidateDocument(std::string_view json);

/**
 * Parses and validates a document. The error's message has one line for each error, with its JSON
 * pointer:
 *
 *     /branches/0/models/1/version: model fold-plan has no version 9
 */
Result<Document> ParseDocument(std::string_view json);

/** Returns the canonical JSON: all members, sorted by name, without white space. */
std::string SerializeDocument(const Document& document);

/** Returns the digest under which a section is stored: 128-bit xxHash (XXH3) in hexadecimal. */
std::string SectionDigest(std::string_view body);

/** Refers to a section of the document by name and content digest. */
struct SectionRef {
  std::string name;  ///< "models", "teams", "services", "policy" or "branch/<name>".
  std::string digest;

  friend bool operator==(const SectionRef&, const SectionRef&) = default;
};

/** Lists the sections of one accepted configuration version. */
struct Manifest {
  ConfigVersion version = 0;
  std::vector<SectionRef> sections;  ///< Branches in the order of the document.
  std::string writer;                ///< Unique for each attempt to write a version.
  /// Writers of the immediately preceding versions, newest first. A writer that lost the reply to
  /// its own write can still find its identifier here after others have written newer versions.
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

/** Splits a document into sections: models, teams, services, policy and one for each branch. */
SplitDocument SplitIntoSections(const Document& document);

/** Joins the sections of a manifest. Verifies every digest and validates the joined document. */
Result<Document> JoinSections(const Manifest& manifest, const SectionBodies& bodies);

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_CONFIG_DOCUMENT_H_
