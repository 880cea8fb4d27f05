#ifndef LIMPETFALL_HTTP_ERROR_RESPONSE_H_
#define LIMPETFALL_HTTP_ERROR_RESPONSE_H_

#include <string>
#include <string_view>

#include "http/client.h"
#include "limpetfall/result.h"

namespace limpetfall {

/** Returns whether `text` is a valid request id: 1 to 128 letters, digits, `-`, `_`, `.`, `:`. */
bool IsRequestId(std::string_view text);

/** Returns `{"error":{"code","message","verdict","request_id"}}`. */
std::string ErrorBody(const Error& error, std::string_view request_id);

/**
 * Returns a response with the error as its JSON body and the header `X-Verdict`. `X-Request-Id` is
 * set unless `request_id` is empty.
 *
 *     co_await exchange.Send(ErrorResponse(413, NotRun(ErrorCode::kInvalidArgument, "..."), id));
 */
HttpResponse ErrorResponse(int status, const Error& error, std::string_view request_id);

}  // namespace limpetfall

#endif  // LIMPETFALL_HTTP_ERROR_RESPONSE_H_
