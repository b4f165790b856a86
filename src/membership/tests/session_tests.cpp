#include "core/testing/golden.h"
#include "membership/tests/nodes.h"

#include <boost/test/unit_test.hpp>

//! Compares all writes to the cell's rows during a scenario with golden files. SARDINERUN_RECORD=1 rewrites the files.

using namespace sardinerun;
using namespace sardinerun::membership;
using namespace sardinerun::membership::testing;
using namespace std::chrono_literals;

namespace {

//! Records the writes of all nodes, with incarnations numbered in order of appearance.
class Session {
public:
    explicit Session(Nodes& nodes)
        : m_nodes(nodes)
    {
        nodes.onWriteCommitted = [this](int n, const services::Transaction& it) { record(n, it); };
    }

    void record(const std::string& line) { m_text += line + "\n"; }

    void compare(const std::string& name) const
    {
        const std::string path = std::string(SARDINERUN_TESTS_DIR) + "/golden/" + name + ".txt";
        BOOST_TEST(core::testing::isGolden(path, m_text), name << " differs from " << path);
    }

private:
    void record(int n, const services::Transaction& transaction)
    {
        if (isRenewalOnly(transaction))
            return;
        record("n" + std::to_string(n));
        for (const services::RowCheck& it : transaction.checks)
            record("  checks " + it.key);
        for (const services::RowWrite& it : transaction.writes)
            record("  writes " + it.key + " " + (it.value ? numberIncarnations(*it.value) : "(nothing)"));
    }

    bool isRenewalOnly(const services::Transaction& transaction)
    {
        const services::RowWrite& first = transaction.writes.front();
        const bool isMember = first.key.starts_with("cell/member/") && transaction.writes.size() == 1;
        const bool isSame = isMember && first.value && m_members[first.key] == *first.value;
        if (isMember)
            m_members[first.key] = first.value.value_or("");
        return isSame;
    }

    std::string numberIncarnations(std::string text)
    {
        static const std::string incarnationField = "\"incarnation\":\"";
        for (std::size_t at = text.find(incarnationField); at != std::string::npos;
             at = text.find(incarnationField, at + 1)) {
            const std::size_t begin = at + incarnationField.size();
            const std::size_t length = text.find('"', begin) - begin;
            const std::string incarnation = text.substr(begin, length);
            const auto known
                = m_incarnations.try_emplace(incarnation, "run" + std::to_string(m_incarnations.size() + 1)).first;
            if (!incarnation.empty())
                text.replace(begin, length, known->second);
        }
        return text;
    }

    Nodes& m_nodes;
    std::string m_text;
    std::map<std::string, std::string> m_members;
    std::map<std::string, std::string> m_incarnations;
};

} // namespace

BOOST_AUTO_TEST_CASE(sessionOfAHandOver)
{
    Nodes nodes(2);
    nodes.run(3s);
    Session session(nodes);
    session.record("n0 is told to stop");
    nodes.nodes[0].membership->leave();
    nodes.run(6s);
    BOOST_TEST(nodes.nodes[0].membership->hasLeft());
    session.compare("handover");
}

BOOST_AUTO_TEST_CASE(sessionOfAChangeOfPreset)
{
    Nodes nodes(3);
    nodes.configure("ordinary");
    nodes.run(4s);
    Session session(nodes);
    session.record("an operator changes the preset to peak");
    nodes.configure("peak");
    nodes.run(4s);
    session.record("an operator changes the preset to maintenance, and n2 is lost");
    nodes.configure("maintenance");
    nodes.nodes.erase(2);
    nodes.run(4s);
    BOOST_TEST((nodes.inForce(0) == core::ConfigVersion(3)));
    session.compare("presetchange");
}
