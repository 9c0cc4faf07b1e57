// Counters, gauges and latency histograms, written out as Prometheus text.
//
// How to use: keep the reference that `counter` returns (it lives as long as the registry) and call `add`.
//   Counter &refused = metrics.counter("fescuenotch_refusals_total", "Requests refused before a target ran them.", {{"reason", "queue-full"}});
// Every name here is listed in docs/METRICS.md; a test compares the two. Register all label values at construction, so
// that a counter which has not moved yet is still shown with 0.
#pragma once

#include "kernel/clock.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Fescuenotch {

using Labels = std::map<std::string, std::string>;

class Counter
{
public:
    void add(std::uint64_t n = 1)
    {
        m_value.fetch_add(n, std::memory_order_relaxed);
    }
    std::uint64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_value{0};
};

/// A latency histogram (Boost.Histogram) with logarithmic buckets from 50 us to 60 s.
class LatencyHistogram
{
public:
    virtual ~LatencyHistogram() = default;
    virtual void record(Duration value) = 0;
    /// The value below which `share` (0 to 1) of the records lie, to bucket resolution; zero without records.
    virtual Duration quantile(double share) const = 0;
    virtual std::uint64_t count() const = 0;
};

class MetricsRegistry
{
public:
    virtual ~MetricsRegistry() = default;
    virtual Counter &counter(const std::string &name, const std::string &help, const Labels &labels = {}) = 0;
    virtual LatencyHistogram &histogram(const std::string &name, const std::string &help, const Labels &labels = {}) = 0;
    /// A value read when the text is written.
    virtual void gauge(const std::string &name, const std::string &help, const Labels &labels, std::function<double()> read) = 0;
    /// Prometheus text, one HELP and TYPE line per name.
    virtual std::string text() const = 0;
    /// Every name registered, sorted.
    virtual std::vector<std::string> names() const = 0;
};

std::unique_ptr<MetricsRegistry> makeMetricsRegistry();

} // namespace Fescuenotch
