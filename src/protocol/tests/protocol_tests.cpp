#define BOOST_TEST_MODULE protocol
#include "protocol/messagecodec.h"
#include "protocol/rpccodec.h"

#include <boost/test/unit_test.hpp>

using namespace sardinerun;
using namespace sardinerun::protocol;
using namespace std::chrono_literals;

namespace {

Envelope roundTrip(const Envelope& envelope)
{
    const std::string text = encodeBatch({ { methodOf(envelope.message), encodeParams(envelope) } });
    const std::vector<RpcCall> calls = decodeBatch(text, allMethods());
    BOOST_REQUIRE(calls.size() == 1U);
    return decodeParams(calls[0].method, calls[0].params);
}

jobs::JobSpec spec()
{
    jobs::JobSpec it;
    it.id = core::JobId("j");
    it.team = core::TeamId("t");
    it.workload = "w";
    it.taskCount = 2;
    it.taskResources.cpu = core::MilliCpu(100);
    return it;
}

} // namespace

BOOST_AUTO_TEST_CASE(placeTasksRoundTrips)
{
    PlaceTasks place { { core::PartitionId(2), core::Epoch(9) }, core::PartitionId(5), core::Epoch(3), PlacementId(77),
        PlaceMode::ReserveSome, true, spec(), { { core::TaskIndex(1), core::AttemptNumber(640) } } };
    const Envelope decoded = roundTrip({ core::PartitionId(5), place });
    const auto& it = std::get<PlaceTasks>(decoded.message);
    BOOST_TEST((std::get<core::PartitionId>(decoded.to) == core::PartitionId(5)));
    BOOST_TEST((it.from == place.from));
    BOOST_TEST((it.mode == PlaceMode::ReserveSome));
    BOOST_TEST((it.spec == place.spec));
    BOOST_TEST((it.tasks == place.tasks));
}

BOOST_AUTO_TEST_CASE(answersRoundTrip)
{
    SubmitAnswer answer;
    answer.token = Token(7);
    answer.outcome = SubmitOutcome::Refused;
    answer.refusal = { admission::RefusalReason::ShuttingDown, "too large", 1500ms };
    const Envelope decoded = roundTrip({ core::NodeId("n1"), answer });
    const auto& it = std::get<SubmitAnswer>(decoded.message);
    BOOST_TEST((std::get<core::NodeId>(decoded.to) == core::NodeId("n1")));
    BOOST_TEST(it.refusal.detail == "too large");
    BOOST_TEST((*it.refusal.retryAfter == core::Duration(1500ms)));

    ClaimOnce claim;
    claim.fingerprint = UINT64_MAX;
    BOOST_TEST(std::get<ClaimOnce>(roundTrip({ core::PartitionId(1), claim }).message).fingerprint == UINT64_MAX);
}

BOOST_AUTO_TEST_CASE(everyMessageTypeRoundTrips)
{
    SubmitJob submit { {}, spec() };
    PlaceTasks place;
    place.spec = spec();
    const std::vector<Message> all { submit, SubmitAnswer {}, CancelJobs {}, CancelAnswer {}, ReadJobs {},
        JobsAnswer {}, place, PlaceAnswer {}, CommitReservation {}, CommitAnswer {}, ReleaseReservation {},
        AttemptEnded {}, EndsPersisted {}, StopJobs {}, RequestInventory {}, Inventory {}, RoomHint {}, ClaimOnce {},
        ClaimAnswer {}, FinishOnce {}, FinishAnswer {}, RefreshNow {} };
    BOOST_TEST(all.size() == std::variant_size_v<Message>);
    for (const Message& it : all) {
        const Envelope sent { core::PartitionId(1), it };
        const Envelope decoded = roundTrip(sent);
        BOOST_TEST(decoded.message.index() == it.index());
        BOOST_TEST(codec::writeJson(encodeParams(decoded)) == codec::writeJson(encodeParams(sent)));
    }
}

BOOST_AUTO_TEST_CASE(batchesKeepTheirOrder)
{
    std::vector<RpcCall> calls;
    for (int n = 0; n < 50; ++n) {
        CancelAnswer answer;
        answer.cancelled = static_cast<std::uint32_t>(n);
        const Envelope envelope { core::NodeId("n"), answer };
        calls.push_back({ methodOf(envelope.message), encodeParams(envelope) });
    }
    const auto decoded = decodeBatch(encodeBatch(calls), allMethods());
    BOOST_REQUIRE(decoded.size() == calls.size());
    for (std::size_t n = 0; n < decoded.size(); ++n)
        BOOST_TEST(decoded[n].params["cancelled"].asUInt() == n);
}

BOOST_AUTO_TEST_CASE(malformedTextIsRejected)
{
    for (const char* it : { "", "x", "[]", "{}", "[1]", "{\"jsonrpc\":\"2.0\",\"method\":\"nope\",\"params\":{}}",
             "[{\"jsonrpc\":\"2.0\",\"method\":\"lookNow\"}]" }) {
        try {
            for (const RpcCall& call : decodeBatch(it, allMethods()))
                decodeParams(call.method, call.params);
            BOOST_ERROR(std::string("accepted malformed text: ") + it);
        } catch (const RpcError&) {
        } catch (const codec::DecodeError&) {
        }
    }
}
