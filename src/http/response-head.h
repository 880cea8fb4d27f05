#ifndef LIMPETFALL_HTTP_RESPONSE_HEAD_H_
#define LIMPETFALL_HTTP_RESPONSE_HEAD_H_

#include "limpetfall/result.h"

namespace limpetfall {

/** Returns an error if no server may respond with this status to a request without an upgrade. */
Result<void> CheckResponseStatus(int status);

}  // namespace limpetfall

#endif  // LIMPETFALL_HTTP_RESPONSE_HEAD_H_
