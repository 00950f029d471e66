#include "Net/HttpClient.h"

#include <atomic>
#include <curl/curl.h>
#include <deque>
#include <future>
#include <map>
#include <mutex>
#include <thread>

#include "Common/Clock.h"
#include "Common/Invariant.h"

namespace Net {

namespace {

/// Longest answer body that is accepted.
constexpr std::size_t MaxAnswerBytes = std::size_t{128} << 20U;
/// Longest sleep of the thread; new calls and arriving answers wake it earlier.
constexpr int PollTimeoutMs = 1000;
/// Size of the connection pool, relative to the most connections to one server: idle connections
/// to one server are all kept, with room for some to other servers.
constexpr long PooledConnectionsFactor = 2;

struct HeaderList
{
    HeaderList()
    {
        // Without this empty header, curl waits up to a second for "100 Continue" before it sends a
        // long body.
        this->headers = curl_slist_append(this->headers, "Expect:");
        this->headers = curl_slist_append(this->headers, "Content-Type: application/json");
        this->headers = curl_slist_append(this->headers, "Connection: keep-alive");
    }
    ~HeaderList() { curl_slist_free_all(this->headers); }
    HeaderList(const HeaderList &) = delete;
    HeaderList &operator=(const HeaderList &) = delete;

    void add(const std::string &line)
    {
        this->headers = curl_slist_append(this->headers, line.c_str());
    }

    curl_slist *headers = nullptr;
};

/// Connections to one server.
struct Origin
{
    int consecutiveTimeouts = 0;
    /// Connections made before that are not used again.
    std::int64_t suspectBeforeMs = 0;
    /// By local port: when the connection was first used.
    std::map<int, std::int64_t> connectedMs;
};

struct Transfer
{
    HttpCall call;
    CURL *handle = nullptr;
    Origin *origin = nullptr;
    std::int64_t addedMs = 0;
    /// Set only for a call with additional headers.
    std::unique_ptr<HeaderList> headerList;
    HttpCallback done;
    HttpResult result;
    /// Number of times that curl was about to write the request to a connection.
    int attempts = 0;
    bool isOnSuspectConnection = false;
    bool needsNewConnection = false;
    bool isTooLong = false;
};

/// curl automatically repeats a request, whatever its method, if a reused connection closes before
/// the first byte of the answer. The server may have acted on the first request, so that a repeated
/// POST would take effect twice. curl has no option to turn this off, but calls this function
/// before each attempt. The second attempt is rejected, and the call ends as Lost.
///
/// A first attempt on a suspect connection is rejected, too: curl closes that connection, and the
/// call is sent on a new one. curl can only exclude connections by their age in whole seconds; with
/// that alone, each call of the next 2 s opened a new connection.
int beforeRequest(void *user, char *, char *, int, int localPort)
{
    auto *transfer = static_cast<Transfer *>(user);
    Origin &origin = *transfer->origin;
    long newConnections = 0;
    curl_easy_getinfo(transfer->handle, CURLINFO_NUM_CONNECTS, &newConnections);
    if (newConnections > 0) {
        origin.connectedMs[localPort] = Common::currentMoment().steadyMs;
    } else if (transfer->attempts == 0 && !transfer->needsNewConnection
               && origin.connectedMs[localPort] < origin.suspectBeforeMs) {
        transfer->isOnSuspectConnection = true;
        return CURL_PREREQFUNC_ABORT;
    }
    ++transfer->attempts;
    return transfer->attempts == 1 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *user)
{
    auto *transfer = static_cast<Transfer *>(user);
    const std::size_t length = size * count;
    if (transfer->result.body.size() + length > MaxAnswerBytes) {
        transfer->isTooLong = true;
        return 0;
    }
    transfer->result.body.append(data, length);
    return length;
}

HttpTransport classify(CURLcode code, const Transfer &transfer)
{
    if (code == CURLE_OK) {
        return HttpTransport::Answered;
    }
    if (transfer.attempts == 0) {
        return HttpTransport::NotConnected;
    }
    return code == CURLE_OPERATION_TIMEDOUT ? HttpTransport::TimedOut : HttpTransport::Lost;
}

/// Scheme, host and port of \a url.
std::string originOf(const std::string &url)
{
    const std::size_t scheme = url.find("://");
    const std::size_t start = scheme == std::string::npos ? 0 : scheme + 3;
    return url.substr(0, url.find('/', start));
}

void startCurl()
{
    static const CURLcode started = curl_global_init(CURL_GLOBAL_DEFAULT);
    Common::invariant(started == CURLE_OK, "curl starts");
}

} // namespace

std::string percentDecoded(std::string_view text)
{
    if (text.empty()) {
        // The library would take a length of 0 for "up to the next zero byte".
        return {};
    }
    int length = 0;
    char *decoded =
            curl_easy_unescape(nullptr, text.data(), static_cast<int>(text.size()), &length);
    if (decoded == nullptr) {
        return std::string(text);
    }
    std::string result(decoded, static_cast<std::size_t>(length));
    curl_free(decoded);
    return result;
}

std::string percentEncoded(const std::string &text)
{
    char *encoded = curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size()));
    Common::invariant(encoded != nullptr, "a URL can be encoded");
    std::string result(encoded);
    curl_free(encoded);
    return result;
}

struct HttpClient::Implementation
{
    Implementation(int maxConnections, int timeoutsUntilSuspect)
        : timeoutsUntilSuspect(timeoutsUntilSuspect)
    {
        startCurl();
        this->multi = curl_multi_init();
        curl_multi_setopt(this->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                          static_cast<long>(maxConnections));
        curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS,
                          maxConnections * PooledConnectionsFactor);
        this->thread = std::thread([this] { this->run(); });
    }

    ~Implementation()
    {
        this->isStopping = true;
        curl_multi_wakeup(this->multi);
        this->thread.join();
        curl_multi_cleanup(this->multi);
    }

    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    void post(HttpCall call, HttpCallback done)
    {
        auto transfer = std::make_unique<Transfer>();
        transfer->call = std::move(call);
        transfer->done = std::move(done);
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->waiting.push_back(std::move(transfer));
        }
        curl_multi_wakeup(this->multi);
    }

    void run()
    {
        while (!this->isStopping) {
            this->addWaiting();
            int running = 0;
            curl_multi_perform(this->multi, &running);
            this->finishCompleted();
            curl_multi_poll(this->multi, nullptr, 0, PollTimeoutMs, nullptr);
        }
        this->abortAll();
    }

    void addWaiting()
    {
        std::deque<std::unique_ptr<Transfer>> arrived;
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            arrived.swap(this->waiting);
        }
        for (std::unique_ptr<Transfer> &transfer : arrived) {
            this->add(std::move(transfer));
        }
    }

    void add(std::unique_ptr<Transfer> transfer)
    {
        transfer->addedMs = Common::currentMoment().steadyMs;
        CURL *handle = this->makeHandle(*transfer);
        curl_multi_add_handle(this->multi, handle);
        this->transfers.emplace(handle, std::move(transfer));
    }

    CURL *makeHandle(Transfer &transfer)
    {
        const HttpCall &call = transfer.call;
        CURL *handle = curl_easy_init();
        curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
        curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(handle, CURLOPT_TCP_KEEPALIVE, 1L);
        curl_easy_setopt(handle, CURLOPT_PROXY, "");
        curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
        if (!call.headers.empty()) {
            transfer.headerList = std::make_unique<HeaderList>();
            for (const std::string &line : call.headers) {
                transfer.headerList->add(line);
            }
        }
        const HeaderList &headers = transfer.headerList ? *transfer.headerList : this->headerList;
        curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers.headers);
        curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                         static_cast<long>(call.connectTimeoutMs));
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeoutMs));
        curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, beforeRequest);
        curl_easy_setopt(handle, CURLOPT_PREREQDATA, &transfer);
        curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, appendBody);
        curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer);
        if (call.method == "POST" || !call.body.empty()) {
            curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                             static_cast<curl_off_t>(call.body.size()));
            curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.data());
        }
        if (call.method != "POST" && call.method != "GET") {
            curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
        }
        transfer.handle = handle;
        transfer.origin = &this->origins[originOf(call.url)];
        return handle;
    }

    /// Sends a call again, on a new connection, that has not been written because its connection
    /// was suspect. Returns false if its time is over.
    bool resend(CURL *handle, std::unique_ptr<Transfer> &transfer)
    {
        const std::int64_t leftMs =
                transfer->call.timeoutMs - (Common::currentMoment().steadyMs - transfer->addedMs);
        if (leftMs <= 0) {
            return false;
        }
        transfer->isOnSuspectConnection = false;
        transfer->needsNewConnection = true;
        curl_multi_remove_handle(this->multi, handle);
        curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(leftMs));
        curl_multi_add_handle(this->multi, handle);
        this->transfers.emplace(handle, std::move(transfer));
        return true;
    }

    /// If a device between client and server has dropped the state of their connections, each
    /// pooled connection loses a request and costs a timeout. Therefore, after timeoutsUntilSuspect
    /// timeouts without an answer in between, older connections are not used again. For a server
    /// that is only slow, this costs no more than some new connections. If a server leaves single
    /// requests unanswered, one timeout says nothing about the other connections.
    void updateSuspectConnections(Origin &origin, HttpTransport transport) const
    {
        if (transport == HttpTransport::Answered) {
            origin.consecutiveTimeouts = 0;
        } else if (transport == HttpTransport::TimedOut
                   && ++origin.consecutiveTimeouts >= this->timeoutsUntilSuspect) {
            origin.suspectBeforeMs = Common::currentMoment().steadyMs;
        }
    }

    void finishCompleted()
    {
        int left = 0;
        while (CURLMsg *message = curl_multi_info_read(this->multi, &left)) {
            if (message->msg == CURLMSG_DONE) {
                this->finish(message->easy_handle, message->data.result);
            }
        }
    }

    void finish(CURL *handle, CURLcode code)
    {
        auto node = this->transfers.extract(handle);
        if (node.mapped()->isOnSuspectConnection && !this->isStopping
            && this->resend(handle, node.mapped())) {
            return;
        }
        Transfer &transfer = *node.mapped();
        HttpResult &result = transfer.result;
        result.transport = classify(code, transfer);
        if (result.transport == HttpTransport::Answered) {
            long status = 0;
            curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
            result.status = static_cast<int>(status);
        } else {
            result.error = transfer.isTooLong ? "answer too long" : curl_easy_strerror(code);
            result.body.clear();
        }
        if (transfer.call.marksSuspectConnections || result.transport == HttpTransport::Answered) {
            this->updateSuspectConnections(*transfer.origin, result.transport);
        }
        curl_multi_remove_handle(this->multi, handle);
        curl_easy_cleanup(handle);
        transfer.done(std::move(result));
    }

    void abortAll()
    {
        while (!this->transfers.empty()) {
            this->finish(this->transfers.begin()->first, CURLE_ABORTED_BY_CALLBACK);
        }
        std::deque<std::unique_ptr<Transfer>> unsent;
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            unsent.swap(this->waiting);
        }
        for (const std::unique_ptr<Transfer> &transfer : unsent) {
            transfer->result.error = "client stopped";
            transfer->done(std::move(transfer->result));
        }
    }

    CURLM *multi = nullptr;
    HeaderList headerList;
    const int timeoutsUntilSuspect;
    std::atomic<bool> isStopping = false;
    std::mutex mutex;
    std::deque<std::unique_ptr<Transfer>> waiting;
    /// The members below are used only by the client's thread.
    std::map<CURL *, std::unique_ptr<Transfer>> transfers;
    std::map<std::string, Origin> origins;
    std::thread thread;
};

HttpClient::HttpClient(int maxConnections, int timeoutsUntilSuspect)
    : implementation(std::make_unique<Implementation>(maxConnections, timeoutsUntilSuspect))
{}

HttpClient::~HttpClient() = default;

void HttpClient::send(HttpCall call, HttpCallback done)
{
    this->implementation->post(std::move(call), std::move(done));
}

HttpResult HttpClient::perform(HttpCall call)
{
    std::promise<HttpResult> promise;
    this->send(std::move(call),
               [&promise](HttpResult result) { promise.set_value(std::move(result)); });
    return promise.get_future().get();
}

} // namespace Net
