#include <laburnumroute/request_metrics.h>

#include <algorithm>
#include <array>
#include <map>
#include <mutex>
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace laburnum {

namespace {

    namespace accumulators = boost::accumulators;

    constexpr std::array<double, 3> quantiles { 0.5, 0.99, 0.999 };

    /// Latency quantiles in seconds over all samples since the process started.
    class LatencySummary {
    public:
        void add(Duration latency)
        {
            const double seconds = std::chrono::duration<double>(latency).count();
            m_quantiles(seconds);
            m_sum += seconds;
            ++m_count;
        }

        void render(std::ostream& out, const std::string& name, const std::string& labels) const
        {
            for (std::size_t i = 0; i < quantiles.size(); ++i)
                out << name << '{' << labels << ",quantile=\"" << quantiles[i] << "\"} "
                    << accumulators::extended_p_square(m_quantiles)[static_cast<long>(i)] << '\n';
            out << name << "_sum{" << labels << "} " << m_sum << '\n';
            out << name << "_count{" << labels << "} " << m_count << '\n';
        }

    private:
        using Accumulator = accumulators::accumulator_set<double,
            accumulators::stats<accumulators::tag::extended_p_square>>;

        Accumulator m_quantiles { accumulators::tag::extended_p_square::probabilities = quantiles };
        double m_sum = 0.0;
        std::uint64_t m_count = 0;
    };

    /// Upper bounds of the histogram buckets in seconds. They range from a hop within a data centre
    /// to the longest time limit of callers, and are finer around the usual objective of 2 s.
    constexpr std::array<double, 12> bucketBounds { 0.002, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0,
        1.5, 2.0, 4.0, 10.0 };

    /// Unlike quantiles, bucket counts of several hosts can be added up.
    class LatencyHistogram {
    public:
        void add(Duration latency)
        {
            const double seconds = std::chrono::duration<double>(latency).count();
            const auto end = std::lower_bound(bucketBounds.begin(), bucketBounds.end(), seconds);
            ++m_counts.at(static_cast<std::size_t>(end - bucketBounds.begin()));
            m_sum += seconds;
        }

        void render(std::ostream& out, const std::string& name, const std::string& labels) const
        {
            std::uint64_t count = 0;
            for (std::size_t i = 0; i < bucketBounds.size(); ++i) {
                count += m_counts.at(i);
                out << name << "_bucket{" << labels << ",le=\"" << bucketBounds.at(i) << "\"} "
                    << count << '\n';
            }
            count += m_counts.back();
            out << name << "_bucket{" << labels << ",le=\"+Inf\"} " << count << '\n';
            out << name << "_sum{" << labels << "} " << m_sum << '\n';
            out << name << "_count{" << labels << "} " << count << '\n';
        }

    private:
        /// The last element counts the samples above all bounds.
        std::array<std::uint64_t, bucketBounds.size() + 1> m_counts {};
        double m_sum = 0.0;
    };

    struct ServiceRecord {
        /// Number of requests by outcome and status.
        std::map<std::pair<RequestOutcome, unsigned>, std::uint64_t> requests;
        std::uint64_t retries = 0;
        std::uint64_t bytes = 0;
        LatencySummary latency;
        LatencySummary added;
        LatencyHistogram placementWait;
        LatencyHistogram instanceWait;
    };

    std::string escapeLabel(const std::string& value)
    {
        std::string out;
        for (const char c : value) {
            if (c == '"' || c == '\\')
                out += '\\';
            out += c;
        }
        return out;
    }

    void writeMetricHeader(std::ostream& out, const char* name, const char* type, const char* help)
    {
        out << "# HELP " << name << ' ' << help << "\n# TYPE " << name << ' ' << type << '\n';
    }

    using Records = std::map<ServiceId, ServiceRecord>;

    void renderCounters(std::ostream& out, const Records& records)
    {
        writeMetricHeader(
            out, "laburnum_requests_total", "counter", "Requests by outcome and status.");
        for (const auto& [service, record] : records) {
            for (const auto& [key, count] : record.requests)
                out << "laburnum_requests_total{service=\"" << escapeLabel(service.value())
                    << "\",outcome=\"" << outcomeName(key.first) << "\",status=\"" << key.second
                    << "\"} " << count << '\n';
        }
        writeMetricHeader(
            out, "laburnum_retries_total", "counter", "Attempts after a request's first.");
        for (const auto& [service, record] : records)
            out << "laburnum_retries_total{service=\"" << escapeLabel(service.value()) << "\"} "
                << record.retries << '\n';
        writeMetricHeader(
            out, "laburnum_body_bytes_total", "counter", "Bytes of bodies passed, both ways.");
        for (const auto& [service, record] : records)
            out << "laburnum_body_bytes_total{service=\"" << escapeLabel(service.value()) << "\"} "
                << record.bytes << '\n';
    }

    /// Only for a host that has seen accounts: others export no empty families.
    void renderAccounts(std::ostream& out, const AccountCounters& accounts)
    {
        if (accounts.isEmpty())
            return;
        writeMetricHeader(out, "laburnum_account_requests_total", "counter",
            "Requests of the accounts with most requests; the rest have the empty name.");
        for (const auto& [account, count] : accounts.busiest())
            out << "laburnum_account_requests_total{account=\"" << escapeLabel(account.value())
                << "\"} " << count << '\n';
        out << "laburnum_account_requests_total{account=\"\"} " << accounts.restCount() << '\n';
        writeMetricHeader(out, "laburnum_key_refusals_total", "counter",
            "Requests refused because of their account key, by cause.");
        for (const auto& [cause, count] : accounts.keyRefusals())
            out << "laburnum_key_refusals_total{cause=\"" << cause << "\"} " << count << '\n';
    }

    template <class Counters>
    void renderCauses(
        std::ostream& out, const char* name, const char* help, const Counters& counters)
    {
        writeMetricHeader(out, name, "counter", help);
        for (const TerminationRule& rule : terminationRules())
            out << name << "{cause=\"" << rule.name << "\"} "
                << counters.at(static_cast<std::size_t>(rule.cause)).load() << '\n';
    }

    template <class Latencies>
    void renderLatencies(std::ostream& out, const Records& records, const char* name,
        const char* type, const char* help, Latencies ServiceRecord::*member)
    {
        writeMetricHeader(out, name, type, help);
        for (const auto& [service, record] : records)
            (record.*member).render(out, name, "service=\"" + escapeLabel(service.value()) + '"');
    }

} // namespace

const char* outcomeName(RequestOutcome outcome) noexcept
{
    switch (outcome) {
    case RequestOutcome::Answered:
        return "answered";
    case RequestOutcome::NotRun:
        return "not-run";
    case RequestOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

struct RequestMetrics::Stripe {
    mutable std::mutex mutex;
    Records records;
};

RequestMetrics::RequestMetrics()
    : m_stripes(std::make_unique<std::array<Stripe, stripeCount>>())
{
}

RequestMetrics::~RequestMetrics() = default;

RequestMetrics::Stripe& RequestMetrics::stripeOf(const ServiceId& service) const
{
    return (*m_stripes)[std::hash<ServiceId> {}(service) % stripeCount];
}

void RequestMetrics::record(const RequestSample& sample)
{
    Stripe& stripe = stripeOf(sample.service);
    const std::lock_guard lock(stripe.mutex);
    ServiceRecord& record = stripe.records[sample.service];
    ++record.requests[{ sample.outcome, sample.status }];
    record.retries += sample.retries;
    record.bytes += sample.bytes;
    record.latency.add(sample.latency);
    if (sample.outcome == RequestOutcome::Answered)
        record.added.add(sample.added);
    if (sample.placementWait)
        record.placementWait.add(*sample.placementWait);
    if (sample.instanceWait)
        record.instanceWait.add(*sample.instanceWait);
}

void RequestMetrics::countAccountRequest(const ClientAccountId& account)
{
    const std::lock_guard lock(m_accountMutex);
    m_accounts.countRequest(account);
}

void RequestMetrics::countKeyRefusal(const std::string& cause)
{
    const std::lock_guard lock(m_accountMutex);
    m_accounts.countKeyRefusal(cause);
}

void RequestMetrics::countTermination(TerminationCause cause)
{
    ++m_terminations.at(static_cast<std::size_t>(cause));
}

void RequestMetrics::countRefusedTermination(TerminationCause cause)
{
    ++m_refusedTerminations.at(static_cast<std::size_t>(cause));
}

std::string RequestMetrics::render() const
{
    Records records;
    for (const auto& stripe : *m_stripes) {
        const std::lock_guard lock(stripe.mutex);
        records.insert(stripe.records.begin(), stripe.records.end());
    }
    std::ostringstream out;
    renderCounters(out, records);
    renderCauses(out, "laburnum_attempts_terminated_total",
        "Attempts ended while an instance was at work, by cause.", m_terminations);
    renderCauses(out, "laburnum_attempt_terminations_refused_total",
        "Attempts that went on because this host had no right to end them; 0 without a defect.",
        m_refusedTerminations);
    renderLatencies(out, records, "laburnum_request_seconds", "summary",
        "Time from a request's head to the end of its answer.", &ServiceRecord::latency);
    renderLatencies(out, records, "laburnum_added_seconds", "summary",
        "Time that this host itself added to answered requests.", &ServiceRecord::added);
    renderLatencies(out, records, "laburnum_placing_seconds", "histogram",
        "Time that requests waited for places.", &ServiceRecord::placementWait);
    renderLatencies(out, records, "laburnum_instance_seconds", "histogram",
        "Time that requests waited for instances, connecting included.",
        &ServiceRecord::instanceWait);
    static constexpr std::array endNames { "idle", "caller", "incomplete-head" };
    writeMetricHeader(out, "laburnum_connections_ended_total", "counter",
        "Connections of callers that ended without a response to their last bytes, by cause.");
    for (std::size_t i = 0; i < endNames.size(); ++i)
        out << "laburnum_connections_ended_total{cause=\"" << endNames.at(i) << "\"} "
            << m_connectionEnds.at(i) << '\n';
    writeMetricHeader(out, "laburnum_internal_errors_total", "counter",
        "Exceptions that ended a request or a caller's connection.");
    out << "laburnum_internal_errors_total " << m_internalErrors << '\n';
    writeMetricHeader(out, "laburnum_rate_limits_unreadable_total", "counter",
        "Responses of instances with a rate limit that is no number.");
    out << "laburnum_rate_limits_unreadable_total " << m_unreadableRateLimits << '\n';
    const std::lock_guard lock(m_accountMutex);
    renderAccounts(out, m_accounts);
    return out.str();
}

} // namespace laburnum
