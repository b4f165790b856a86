#include "standins/rowsstandin.h"

#include "platform/internal/wire.h"

#include <map>

namespace sardinerun::standins {

namespace {

using platform::decodeBase64;
using platform::encodeBase64;
using platform::listOf;
using platform::textOf;
using store::StoreFailure;

constexpr core::Duration storeLatency = std::chrono::milliseconds(4);
constexpr std::size_t maxRowBytes = 65536; //!< of the encoded value

store::RowKey keyOf(const Json::Value& from)
{
    return { textOf(from, "table"), textOf(from, "part"), textOf(from, "key") };
}

std::string valueOf(const Json::Value& row)
{
    const std::string value = textOf(row, "value");
    if (value.size() > maxRowBytes)
        throw codec::DecodeError("value", "is too large");
    return decodeBase64(value);
}

store::RowTransaction transactionOf(const std::string& body)
{
    const Json::Value from = codec::parseJson(body);
    store::RowTransaction it;
    for (const Json::Value& row : listOf(from, "expected_rev"))
        it.conditions.push_back(
            { keyOf(row), core::RowVersion(static_cast<std::uint64_t>(platform::integerOf(row, "ver"))) });
    for (const Json::Value& row : listOf(from, "set_keys"))
        it.updates.push_back({ keyOf(row), valueOf(row) });
    for (const Json::Value& row : listOf(from, "remove"))
        it.updates.push_back({ keyOf(row), std::nullopt });
    return it;
}

Json::Value encodeRows(const std::vector<store::StoredRow>& rows)
{
    Json::Value to(Json::arrayValue);
    for (const store::StoredRow& it : rows) {
        Json::Value row(Json::objectValue);
        row["table"] = it.key.table;
        row["part"] = it.key.part;
        row["key"] = it.key.key;
        row["ver"] = Json::UInt64(it.version.value());
        if (it.isDeleted)
            row["tombstone"] = true;
        else
            row["value"] = encodeBase64(it.value);
        to.append(row);
    }
    return to;
}

int statusOf(StoreFailure::Code code)
{
    static const std::map<StoreFailure::Code, int> it { { StoreFailure::Code::Unavailable, 503 },
        { StoreFailure::Code::Throttled, 429 }, { StoreFailure::Code::Conflict, 412 },
        { StoreFailure::Code::HistoryGone, 410 } };
    return it.at(code);
}

std::string parameter(const http::Request& request, const char* name)
{
    return http::queryParameter(request.query, name).value_or("");
}

} // namespace

RowsStandin::RowsStandin(const runtime::EventLoopPtr& loop)
    : m_rows(std::make_shared<store::testing::FakeRowStore>(loop))
{
    m_rows->latency = storeLatency;
}

bool RowsStandin::handle(const http::Request& request, http::Responder responder)
{
    using Handle = void (RowsStandin::*)(const http::Request&, http::Responder);
    static const std::map<std::string, Handle> handlers { { "/rows-tx", &RowsStandin::commit },
        { "/rows-get", &RowsStandin::read }, { "/rows-feed", &RowsStandin::changes } };
    const auto it = handlers.find(request.path);
    if (it == handlers.end())
        return false;
    (this->*it->second)(request, std::move(responder));
    return true;
}

void RowsStandin::put(const std::string& table, const std::string& key, const std::string& value)
{
    ++m_rows->version;
    const store::RowKey name { table, "", key };
    m_rows->deleted.erase(name);
    m_rows->rows[name] = { name, value, core::RowVersion(m_rows->version), false };
}

void RowsStandin::commit(const http::Request& request, http::Responder responder)
{
    m_rows->commit(transactionOf(request.body), [this, responder](const store::CommitResult& result) mutable {
        Json::Value body(Json::objectValue);
        if (result) {
            body["ver"] = Json::UInt64(result.value().value());
            responder.send(jsonResponse(200, body));
        } else if (result.error().code == StoreFailure::Code::Unknown) {
            m_unanswered.push_back(std::move(responder)); // simulates a lost answer: never sent
        } else {
            body["rows"] = encodeRows(result.error().present);
            responder.send(jsonResponse(statusOf(result.error().code), body));
        }
    });
}

std::function<void(store::PageResult)> RowsStandin::pageHandler(http::Responder responder)
{
    return [responder = std::move(responder)](const store::PageResult& result) mutable {
        Json::Value body(Json::objectValue);
        if (!result) {
            responder.send(jsonResponse(statusOf(result.error().code), body));
            return;
        }
        body["rows"] = encodeRows(result.value().rows);
        body["has_more"] = result.value().hasMore;
        body["ver"] = Json::UInt64(result.value().version.value());
        responder.send(jsonResponse(200, body));
    };
}

//! Returns the key before `from`, or an empty text. A range on the wire begins at its first key; a range of the store
//! interface begins after the given key.
std::string RowsStandin::keyBefore(const store::RowKey& from) const
{
    const auto it = m_rows->rows.lower_bound(from);
    if (it == m_rows->rows.begin())
        return "";
    const store::RowKey& previous = std::prev(it)->first;
    return previous.table == from.table && previous.part == from.part ? previous.key : "";
}

void RowsStandin::read(const http::Request& request, http::Responder responder)
{
    const store::RowKey from { parameter(request, "table"), parameter(request, "part"), parameter(request, "from") };
    m_rows->read(from.table, from.part, keyBefore(from), pageHandler(std::move(responder)));
}

void RowsStandin::changes(const http::Request& request, http::Responder responder)
{
    const auto after = core::RowVersion(std::stoull("0" + parameter(request, "after")));
    const core::Duration wait = std::chrono::milliseconds(std::stoll("0" + parameter(request, "wait_ms")));
    m_rows->changes(parameter(request, "table"), after, wait, pageHandler(std::move(responder)));
}

} // namespace sardinerun::standins
