#include "spread/digest.h"

#include <xxhash.h>

#include <algorithm>
#include <map>

namespace Fescuenotch {
namespace {

std::uint32_t hashOf(const KeyVersions &it)
{
    const std::uint64_t numbers[] = {it.newest.epoch, it.newest.revision, it.newestValid.epoch, it.newestValid.revision};
    const auto seed = XXH64(numbers, sizeof(numbers), 0);
    return static_cast<std::uint32_t>(XXH64(it.key.data(), it.key.size(), seed));
}

} // namespace

std::uint8_t recordBucketOf(const std::string &key)
{
    return static_cast<std::uint8_t>(XXH64(key.data(), key.size(), BucketCount) % BucketCount);
}

std::vector<std::uint32_t> recordBuckets(const std::vector<KeyVersions> &versions)
{
    std::vector<std::uint32_t> hashes(BucketCount, 0);
    for (const auto &it : versions) {
        hashes[recordBucketOf(it.key)] ^= hashOf(it);
    }
    return hashes;
}

std::vector<std::uint8_t> differing(const std::vector<std::uint32_t> &a, const std::vector<std::uint32_t> &b)
{
    std::vector<std::uint8_t> buckets;
    for (std::size_t i = 0; i < BucketCount; ++i) {
        if (a.size() != b.size() || i >= a.size() || a[i] != b[i]) {
            buckets.push_back(static_cast<std::uint8_t>(i));
        }
    }
    return buckets;
}

std::vector<KeyVersions> keysOf(const std::vector<KeyVersions> &versions, const std::vector<std::uint8_t> &buckets)
{
    std::vector<KeyVersions> found;
    for (const auto &it : versions) {
        if (std::find(buckets.begin(), buckets.end(), recordBucketOf(it.key)) != buckets.end()) {
            found.push_back(it);
        }
    }
    return found;
}

std::vector<std::string> lacking(const std::vector<KeyVersions> &ours, const std::vector<KeyVersions> &theirs)
{
    std::map<std::string, KeyVersions> held;
    for (const auto &it : ours) {
        held[it.key] = it;
    }
    std::vector<std::string> keys;
    for (const auto &it : theirs) {
        const auto &own = held[it.key];
        if (it.newest > own.newest || it.newestValid > own.newestValid) {
            keys.push_back(it.key);
        }
    }
    return keys;
}

} // namespace Fescuenotch
