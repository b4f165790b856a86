#include "services/httpservices.h"

#include "services/servicescodec.h"
#include "telemetry/log.h"

namespace sardinerun::services {

namespace {

constexpr std::size_t maxListBytes = std::size_t(64) << 20;

enum HttpStatus { Ok = 200, NotModified = 304, Conflict = 409, Unavailable = 503 };

StoreError toStoreError(const http::ClientError& error)
{
    const auto code = error.maybeSent ? StoreError::Code::Unknown : StoreError::Code::Unavailable;
    return { code, error.detail };
}

StoreError toStoreError(const http::Response& response)
{
    if (response.status == Conflict)
        return { StoreError::Code::Conflict, response.body };
    if (response.status == Unavailable)
        return { StoreError::Code::Unavailable, response.body };
    return { StoreError::Code::Unknown, "status " + std::to_string(response.status) };
}

//! Returns the decoded body of a successful exchange, or the store error.
template <class Value, class Decode>
core::RetVal<Value, StoreError> readAnswer(const http::ClientResult& result, Decode decode)
{
    if (!result)
        return core::Failure { toStoreError(result.error()) };
    if (result.value().status != Ok)
        return core::Failure { toStoreError(result.value()) };
    try {
        return decode(result.value().body);
    } catch (const codec::DecodeError& it) {
        return core::Failure { StoreError { StoreError::Code::BadAnswer, it.what() } };
    }
}

core::RowVersion decodeCommit(std::string_view text)
{
    const Json::Value value = codec::parseJson(text);
    codec::ObjectReader reader(value);
    return core::RowVersion(static_cast<std::uint64_t>(reader.integer("version", 1, std::int64_t(1) << 53)));
}

class HttpTableStore : public ITableStore {
public:
    HttpTableStore(http::IHttpClientPtr client, core::HostPort platform, ServiceTimeouts timeouts)
        : m_client(std::move(client))
        , m_platform(std::move(platform))
        , m_timeouts(timeouts)
    {
    }

    void list(std::string prefix, std::function<void(RowsResult)> callback) override
    {
        http::ClientRequest request;
        request.to = m_platform;
        request.target = "/v1/rows?prefix=" + prefix;
        request.timeout = m_timeouts.store;
        request.maxResponseBytes = maxListBytes;
        m_client->send(std::move(request), [callback = std::move(callback)](const http::ClientResult& result) {
            callback(readAnswer<std::vector<Row>>(result, decodeRows));
        });
    }

    void commit(Transaction transaction, std::function<void(CommitResult)> callback) override
    {
        http::ClientRequest request;
        request.to = m_platform;
        request.method = "POST";
        request.target = "/v1/transactions";
        request.body = encodeTransaction(transaction);
        request.timeout = m_timeouts.store;
        m_client->send(std::move(request), [callback = std::move(callback)](const http::ClientResult& result) {
            callback(readAnswer<core::RowVersion>(result, decodeCommit));
        });
    }

private:
    http::IHttpClientPtr m_client;
    core::HostPort m_platform;
    ServiceTimeouts m_timeouts;
};

class HttpVmList : public IVmList, public std::enable_shared_from_this<HttpVmList> {
public:
    HttpVmList(http::IHttpClientPtr client, core::HostPort platform, ServiceTimeouts timeouts)
        : m_client(std::move(client))
        , m_platform(std::move(platform))
        , m_timeouts(timeouts)
    {
    }

    void list(std::function<void(VmsResult)> callback) override
    {
        http::ClientRequest request;
        request.to = m_platform;
        request.target = "/v1/vms";
        request.timeout = m_timeouts.store;
        request.maxResponseBytes = maxListBytes;
        // The list is large and changes rarely. With the ETag, an unchanged list costs only a few bytes.
        if (!m_etag.empty())
            request.headers.push_back({ "if-none-match", m_etag });
        auto self = weak_from_this();
        m_client->send(std::move(request), [self, callback = std::move(callback)](const http::ClientResult& result) {
            if (auto client = self.lock())
                callback(client->applyList(result));
        });
    }

private:
    VmsResult applyList(const http::ClientResult& result)
    {
        if (result && result.value().status == NotModified)
            return m_last;
        const auto decoded = readAnswer<DecodedVms>(result, decodeVms);
        if (!decoded)
            return core::Failure { decoded.error() };
        for (const std::string& it : decoded.value().unreadable)
            telemetry::LogLine(telemetry::Severity::Warning, "vmUnreadable").with("why", it);
        m_last = decoded.value().vms;
        m_etag = std::string(http::findHeader(result.value().headers, "etag").value_or(""));
        return m_last;
    }

    http::IHttpClientPtr m_client;
    core::HostPort m_platform;
    ServiceTimeouts m_timeouts;
    std::vector<VmInfo> m_last;
    std::string m_etag;
};

SyncResult readReport(const http::ClientResult& result)
{
    using Code = WorkerError::Code;
    if (!result) {
        const Code code = result.error().maybeSent ? Code::Unknown : Code::Unreachable;
        return core::Failure { WorkerError { code, result.error().detail } };
    }
    if (result.value().status == Conflict)
        return core::Failure { WorkerError { Code::Fenced, result.value().body } };
    if (result.value().status != Ok)
        return core::Failure { WorkerError { Code::Unknown, "status " + std::to_string(result.value().status) } };
    try {
        return decodeReport(result.value().body);
    } catch (const codec::DecodeError& it) {
        return core::Failure { WorkerError { Code::Unknown, it.what() } };
    }
}

class HttpWorkerClient : public IWorkerClient {
public:
    HttpWorkerClient(http::IHttpClientPtr client, ServiceTimeouts timeouts)
        : m_client(std::move(client))
        , m_timeouts(timeouts)
    {
    }

    void sync(const core::HostPort& worker, WorkerSync sync, std::function<void(SyncResult)> callback) override
    {
        http::ClientRequest request;
        request.to = worker;
        request.method = "POST";
        request.target = "/v1/sync";
        request.body = encodeSync(sync);
        request.timeout = m_timeouts.worker;
        m_client->send(std::move(request),
            [callback = std::move(callback)](const http::ClientResult& result) { callback(readReport(result)); });
    }

private:
    http::IHttpClientPtr m_client;
    ServiceTimeouts m_timeouts;
};

} // namespace

ITableStorePtr createTableStore(http::IHttpClientPtr client, core::HostPort platform, ServiceTimeouts timeouts)
{
    return std::make_shared<HttpTableStore>(std::move(client), std::move(platform), timeouts);
}

IVmListPtr createVmList(http::IHttpClientPtr client, core::HostPort platform, ServiceTimeouts timeouts)
{
    return std::make_shared<HttpVmList>(std::move(client), std::move(platform), timeouts);
}

IWorkerClientPtr createWorkerClient(http::IHttpClientPtr client, ServiceTimeouts timeouts)
{
    return std::make_shared<HttpWorkerClient>(std::move(client), timeouts);
}

} // namespace sardinerun::services
