// What the steering engine keeps to find targets that answer badly.
#pragma once

#include "jasminequay/Steering/expectedtime.h"
#include "jasminequay/Steering/outlierejection.h"
#include "jasminequay/Steering/requestwatch.h"

#include <map>

namespace jasminequay
{

/// The ejected targets, the answer times, and the requests that may become overdue.
struct SteeringHealth {
    OutlierEjection outliers;
    ExpectedTimes times;
    std::map<Endpoint, RequestWatch> requests; ///< By the address of the route.
    RequestWatch openings;
    TimePoint checkedAt; ///< When overdue requests were last looked for.
    /// Requests that were sent earlier are not judged: the instance did not run while they were in flight,
    /// and their answers may be waiting to be processed.
    TimePoint judgedFrom;
};

} // namespace jasminequay
