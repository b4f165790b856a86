#pragma once

#include "http/httptypes.h"

extern "C" {
#include <h2o.h>
}

namespace sardinerun::http {

//! Copies a complete request.
Request toRequest(h2o_req_t* from);
//! Sets the status and headers of the answer.
void writeHead(h2o_req_t* request, const Response& response);

} // namespace sardinerun::http
