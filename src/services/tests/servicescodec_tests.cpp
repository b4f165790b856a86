#define BOOST_TEST_MODULE services
#include "services/servicescodec.h"

#include <boost/test/unit_test.hpp>

using namespace sardinerun;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(aSyncRoundTrips)
{
    services::WorkerSync sync;
    sync.order = { core::Epoch(7), 42 };
    const core::AttemptId id { core::JobId("j-1"), core::TaskIndex(3), core::AttemptNumber(2) };
    sync.starts.push_back({ id, { core::MilliCpu(500), core::MebiBytes(64), {} }, 1500ms, "glaze-run" });
    sync.stops.push_back(id);
    const services::WorkerSync decoded = services::decodeSync(services::encodeSync(sync));
    BOOST_TEST(decoded.order.epoch.value() == 7U);
    BOOST_TEST((decoded.starts.at(0).id == id));
    BOOST_TEST((decoded.starts.at(0).runTime == core::Duration(1500ms)));
    BOOST_TEST((decoded.stops.at(0) == id));
}

BOOST_AUTO_TEST_CASE(aVmInAnUnknownStateIsTreatedAsLeaving)
{
    services::VmInfo vm;
    vm.id = core::VmId("w1");
    vm.address = { "127.0.0.1", 1000 };
    std::string text = services::encodeVms({ vm });
    text.replace(text.find("live"), 4, "odd!");
    BOOST_TEST((services::decodeVms(text).at(0).state == services::VmState::Leaving));
}

BOOST_AUTO_TEST_CASE(transactionsDistinguishDeletesFromEmptyValues)
{
    services::Transaction transaction { core::WriteId("w"), {}, { { "a", core::RowVersion(1), "" }, { "b", {}, {} } } };
    const auto decoded = services::decodeTransaction(services::encodeTransaction(transaction));
    BOOST_TEST(decoded.writes.at(0).value.has_value());
    BOOST_TEST(!decoded.writes.at(1).value.has_value());
}
