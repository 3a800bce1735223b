#include "jasminequay/Record/trafficsum.h"

namespace jasminequay
{

TrafficSums sumTraffic(const std::vector<ConnectionRecord> &records)
{
    TrafficSums sums;
    for (const ConnectionRecord &record : records) {
        const FlowRecord &flow = record.flow;
        TrafficSum &sum = sums[{flow.division, flow.service}];
        sum.bytesUp += flow.bytesUp;
        sum.bytesDown += flow.bytesDown;
        sum.packetsUp += flow.packetsUp;
        sum.packetsDown += flow.packetsDown;
        const bool isEnd = flow.isOwner && flow.cause != EndCause::Interim;
        sum.refused += flow.cause == EndCause::Refused ? 1 : 0;
        sum.flows += isEnd && flow.cause != EndCause::Refused ? 1 : 0;
    }
    return sums;
}

} // namespace jasminequay
