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
    BOOST_TEST((services::decodeVms(text).vms.at(0).state == services::VmState::Leaving));
}

//! Guards against one odd entry of another writer making the whole list unreadable, so that no change is followed.
BOOST_AUTO_TEST_CASE(anOddVmDoesNotMakeTheOthersUnreadable)
{
    std::vector<services::VmInfo> vms(2);
    vms[0].id = core::VmId("w1");
    vms[0].address = { "127.0.0.1", 1000 };
    vms[1].id = core::VmId("w,]}2");
    vms[1].address = { "127.0.0.1", 1001 };
    const auto entryOf = [](const services::VmInfo& vm) {
        const std::string list = services::encodeVms({ vm });
        const std::size_t begin = list.find('[') + 1;
        return list.substr(begin, list.rfind(']') - begin);
    };
    const std::string first = entryOf(vms[0]);
    const std::string second = entryOf(vms[1]);
    const auto with = [&first](const std::string& from, const std::string& to) {
        std::string odd = first;
        return odd.replace(odd.find(from), from.size(), to);
    };
    const std::vector<std::string> oddEntries { with("1000", "70000"), with("1000", "0"), with("1000", "1e400"),
        with("1000", "18446744073709551616"), with("1000", std::string(5000, '9')), with("1000", "\"x\""),
        with("1000", std::string(100'000, '[') + std::string(100'000, ']')), with("\"w1\"", "7"), "1e400", "7", "[]",
        "null", "{}", std::string(100'000, '[') + std::string(100'000, ']') };
    for (const std::string& odd : oddEntries) {
        for (const std::string& list :
            { odd + "," + first + "," + second, first + "," + odd + "," + second, first + "," + second + "," + odd }) {
            const services::DecodedVms decoded = services::decodeVms(R"({"vms":[)" + list + "]}");
            BOOST_REQUIRE(decoded.vms.size() == 2U);
            BOOST_TEST(decoded.unreadable.size() == 1U);
            BOOST_TEST((decoded.vms[0].id == vms[0].id));
            BOOST_TEST((decoded.vms[1].id == vms[1].id));
        }
    }
    BOOST_TEST(services::decodeVms(R"({"vms":[]})").vms.empty());
    for (const char* bad : { "", "{}", R"({"vms":[)", R"({"vms":[{}]}})", R"({"vms":["]})", R"({"other":[{}]})",
             R"({"vms":[],"more":[]})", R"({"vms":[{}]]})" })
        BOOST_CHECK_THROW(services::decodeVms(bad), codec::DecodeError);
}

BOOST_AUTO_TEST_CASE(transactionsDistinguishDeletesFromEmptyValues)
{
    services::Transaction transaction { core::WriteId("w"), {}, { { "a", core::RowVersion(1), "" }, { "b", {}, {} } } };
    const auto decoded = services::decodeTransaction(services::encodeTransaction(transaction));
    BOOST_TEST(decoded.writes.at(0).value.has_value());
    BOOST_TEST(!decoded.writes.at(1).value.has_value());
}
