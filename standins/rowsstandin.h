#pragma once

#include "standins/control.h"
#include "store/testing/fakerowstore.h"

namespace sardinerun::standins {

//! Serves the row store of the users' platform over HTTP: transactions, range reads and the change feed.
class RowsStandin {
public:
    explicit RowsStandin(const runtime::EventLoopPtr& loop);

    //! Handles a request to the store. Returns false when the path does not belong to it.
    bool handle(const http::Request& request, http::Responder responder);
    //! Writes a row with an empty `part`, as the platform or its operator does; works also while the store is set to be
    //! down.
    void put(const std::string& table, const std::string& key, const std::string& value);

    store::testing::FakeRowStore& rows() { return *m_rows; }

private:
    void commit(const http::Request& request, http::Responder responder);
    void read(const http::Request& request, http::Responder responder);
    void changes(const http::Request& request, http::Responder responder);
    std::string keyBefore(const store::RowKey& from) const;
    std::function<void(store::PageResult)> pageHandler(http::Responder responder);

    std::shared_ptr<store::testing::FakeRowStore> m_rows;
    std::vector<http::Responder> m_unanswered;
};

} // namespace sardinerun::standins
