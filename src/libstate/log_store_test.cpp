#include <catch2/catch.hpp>

#include <laburnumroute/log_store.h>

#include "fakes/fake_storage.h"

using namespace laburnum;
using namespace laburnum::fakes;

namespace {

const MemberId newMember("m1");

LogEntry entry(std::uint64_t term, const std::string& command)
{
    return { Term(term), EntryKind::Command, command };
}

/// The content that a store must hold after recovery.
struct StoreContent {
    Vote vote;
    LogIndex snapshotIndex;
    std::vector<LogEntry> entries; // from index 1 on
};

/// Performs a fixed sequence with every kind of write and stops at the first failure. `durable` is
/// updated after each success; `expected` also includes the write in progress.
void writeAll(LogStore& store, StoreContent& durable, StoreContent& expected)
{
    const auto step = [&](const Expected<void>& result) {
        if (result)
            durable = expected;
        return result.has_value();
    };
    const auto append = [&](std::size_t first, const std::vector<LogEntry>& entries) {
        expected.entries.resize(first - 1);
        expected.entries.insert(expected.entries.end(), entries.begin(), entries.end());
        return step(store.append(LogIndex(first), entries));
    };
    const auto vote = [&](std::uint64_t term, const char* whom) {
        expected.vote = { Term(term), MemberId(whom) };
        return step(store.saveVote(expected.vote));
    };
    const auto snapshot = [&](std::uint64_t index, std::uint64_t base) {
        expected.snapshotIndex = LogIndex(index);
        return step(store.saveSnapshot({ LogIndex(index), *store.termAt(LogIndex(index)), {},
                                           "state " + std::to_string(index) },
            LogIndex(base)));
    };
    const std::string large(700UL * 1024, 'x'); // two of them fill a segment
    vote(1, "m1") && append(1, { entry(1, "a"), entry(1, "b") }) && append(3, { entry(1, "c") })
        && append(3, { entry(2, "d"), entry(2, large) }) && vote(3, "m2")
        && append(5, { entry(3, large) }) && append(6, { entry(3, "e") }) && snapshot(4, 2)
        && append(7, { entry(3, large) }) && append(8, { entry(3, large) })
        && append(9, { entry(3, "f") }) && snapshot(9, 8) && append(10, { entry(3, "g") });
}

/// True when `store` holds exactly `expected`, apart from compacted entries.
bool matches(const LogStore& store, const StoreContent& expected)
{
    if (store.vote() != expected.vote || store.snapshot().index != expected.snapshotIndex
        || store.lastIndex().value() != expected.entries.size())
        return false;
    if (store.snapshot().index.value() > 0
        && store.snapshot().state != "state " + std::to_string(store.snapshot().index.value()))
        return false;
    for (LogIndex index = next(store.baseIndex()); index <= store.lastIndex(); index = next(index))
        if (store.at(index) != expected.entries[index.value() - 1])
            return false;
    return true;
}

unsigned countOperations()
{
    FakeStorage storage;
    auto store = LogStore::open(storage, newMember);
    StoreContent durable;
    StoreContent expected;
    writeAll(*store, durable, expected);
    REQUIRE(matches(*store, durable));
    return storage.operations();
}

} // namespace

TEST_CASE("a store recovers all durable content after a crash in any write operation")
{
    const unsigned operations = countOperations();
    REQUIRE(operations > 20);
    for (const StopPoint point : { StopPoint::Before, StopPoint::Half, StopPoint::After })
        for (unsigned operation = 1; operation <= operations; ++operation)
            for (std::uint64_t seed = 0; seed < 6; ++seed) {
                CAPTURE(static_cast<int>(point), operation, seed);
                FakeStorage storage;
                storage.stopAt(operation, point);
                StoreContent durable;
                StoreContent expected;
                if (auto store = LogStore::open(storage, newMember))
                    writeAll(*store, durable, expected);
                Random random(seed);
                seed % 3 == 0
                    ? storage.resume()
                    : (seed % 3 == 1 ? storage.crash(random) : storage.crashInSectors(random));
                {
                    const auto store = LogStore::open(storage, newMember);
                    if (!store)
                        FAIL(store.error().message);
                    REQUIRE((matches(*store, durable) || matches(*store, expected)));
                }
                // Content that was read once survives a power failure right after recovery.
                const auto before = LogStore::open(storage, newMember);
                storage.crash();
                const auto after = LogStore::open(storage, newMember);
                REQUIRE(after);
                REQUIRE(after->lastIndex() == before->lastIndex());
                REQUIRE(after->vote() == before->vote());
            }
}

TEST_CASE("a disk with fake syncs loses durable content: the crash test above can fail")
{
    FakeStorage storage;
    auto store = LogStore::open(storage, newMember);
    storage.ignoreSyncs(true);
    REQUIRE(store->append(LogIndex(1), { entry(1, "a") }));
    storage.crash();
    REQUIRE(LogStore::open(storage, newMember)->lastIndex() == LogIndex(0));
}

TEST_CASE("every flipped bit is refused with the file and offset in the message")
{
    FakeStorage intact;
    {
        auto store = LogStore::open(intact, newMember);
        REQUIRE(store->saveVote({ Term(2), MemberId("m2") }));
        REQUIRE(store->append(LogIndex(1), { entry(1, "a"), entry(2, "bc") }));
        REQUIRE(store->append(LogIndex(3), { entry(2, "def") }));
        REQUIRE(store->saveSnapshot({ LogIndex(2), Term(2), {}, "state" }, LogIndex(1)));
    }
    const auto names = intact.list();
    REQUIRE(names->size() == 4);
    for (const auto& name : *names) {
        const std::size_t size = intact.read(name)->size();
        for (std::size_t offset = 0; offset < size; ++offset)
            for (unsigned bit = 0; bit < 8; ++bit) {
                CAPTURE(name, offset, bit);
                FakeStorage storage = intact;
                storage.flipBit(name, offset, bit);
                const auto opened = LogStore::open(storage, newMember);
                REQUIRE_FALSE(opened);
                REQUIRE(opened.error().code == ErrorCode::Corrupt);
                REQUIRE(opened.error().message.find("'" + name + "'") != std::string::npos);
                REQUIRE(opened.error().message.find("offset") != std::string::npos);
            }
    }
}

// Guards against a first start that is forgotten with the process (review/12).
TEST_CASE("a store keeps the hosts of the first start, whatever write it is killed in")
{
    const std::vector<HostId> hosts { HostId("a"), HostId("b"), HostId("c") };
    unsigned kept = 0;
    for (const StopPoint point : { StopPoint::Before, StopPoint::Half, StopPoint::After }) {
        for (unsigned operation = 1; operation <= 12; ++operation) {
            CAPTURE(static_cast<int>(point), operation);
            FakeStorage storage;
            storage.stopAt(operation, point);
            const bool isCreated = LogStore::open(storage, newMember, hosts).has_value();
            storage.resume();
            const auto store = LogStore::open(storage, MemberId("next"));
            REQUIRE(store);
            const bool isKept = store->foundingHosts() == hosts;
            CHECK((isKept || store->foundingHosts().empty()));
            CHECK((isKept || !isCreated));
            kept += isKept ? 1 : 0;
        }
    }
    CHECK(kept > 0);
    FakeStorage later;
    CHECK(LogStore::open(later, newMember)->foundingHosts().empty());
    CHECK(LogStore::open(later, newMember, hosts)->foundingHosts().empty());
}

TEST_CASE("a folder with a missing file is refused")
{
    FakeStorage intact;
    auto store = LogStore::open(intact, newMember);
    const std::string large(1100UL * 1024, 'x'); // fills a segment
    REQUIRE(store->append(LogIndex(1), { entry(1, large) }));
    REQUIRE(store->append(LogIndex(2), { entry(1, "b") }));
    REQUIRE(store->append(LogIndex(3), { entry(1, large) }));
    REQUIRE(store->append(LogIndex(4), { entry(1, "c") }));
    for (const char* name : { "identity", "vote", "log-00000001", "log-00000002" }) {
        CAPTURE(name);
        FakeStorage storage = intact;
        REQUIRE(storage.remove(name));
        const auto opened = LogStore::open(storage, newMember);
        REQUIRE_FALSE(opened);
        REQUIRE(opened.error().code == ErrorCode::Corrupt);
    }
}

TEST_CASE("a store refuses writes after a failed write or sync until it is reopened")
{
    FakeStorage storage;
    auto store = LogStore::open(storage, newMember);
    REQUIRE(store->append(LogIndex(1), { entry(1, "a") }));
    SECTION("failed sync") { storage.failSyncs(1); }
    SECTION("full disk") { storage.failWrites(1); }
    REQUIRE_FALSE(store->append(LogIndex(2), { entry(1, "b") }));
    REQUIRE(store->failure());
    REQUIRE_FALSE(store->append(LogIndex(2), { entry(1, "b") }));
    REQUIRE_FALSE(store->saveVote({ Term(9), newMember }));
    store = LogStore::open(storage, newMember);
    REQUIRE(store->append(next(store->lastIndex()), { entry(1, "c") }));
    const LogIndex last = store->lastIndex();
    storage.crash();
    REQUIRE(LogStore::open(storage, newMember)->lastIndex() == last);
}

TEST_CASE("an emptied folder gets the new member id, an existing one keeps its own")
{
    FakeStorage storage;
    REQUIRE(LogStore::open(storage, MemberId("a"))->member() == MemberId("a"));
    REQUIRE(LogStore::open(storage, MemberId("b"))->member() == MemberId("a"));
    storage.eraseAll();
    REQUIRE(LogStore::open(storage, MemberId("b"))->member() == MemberId("b"));
}

TEST_CASE("an installed snapshot replaces a conflicting log, also across a crash")
{
    FakeStorage storage;
    auto store = LogStore::open(storage, newMember);
    REQUIRE(store->append(LogIndex(1), { entry(1, "a"), entry(1, "b"), entry(1, "stale") }));
    REQUIRE(store->installSnapshot({ LogIndex(2), Term(5), {}, "state" }));
    REQUIRE(store->lastIndex() == LogIndex(2));
    REQUIRE(store->lastTerm() == Term(5));
    REQUIRE(store->append(LogIndex(3), { entry(5, "c") }));
    storage.crash();
    store = LogStore::open(storage, newMember);
    REQUIRE(store->lastIndex() == LogIndex(3));
    REQUIRE(store->at(LogIndex(3)).command == "c");
}

TEST_CASE("a torn tail is truncated at any position of its record within the sectors")
{
    for (std::size_t size = 0; size < 1100; size += 7)
        for (std::uint64_t seed = 0; seed < 8; ++seed) {
            CAPTURE(size, seed);
            FakeStorage storage;
            {
                auto store = LogStore::open(storage, newMember);
                REQUIRE(store->append(LogIndex(1), { entry(1, std::string(size, 'a')) }));
                storage.stopAt(2, StopPoint::Before); // stop between the append and its sync
                REQUIRE_FALSE(
                    store->append(LogIndex(2), { entry(1, std::string(size, 'b')), { Term(1) } }));
            }
            Random random(seed);
            storage.crashInSectors(random);
            const auto store = LogStore::open(storage, newMember);
            if (!store)
                FAIL(store.error().message);
            REQUIRE((store->lastIndex() == LogIndex(1) || store->lastIndex() == LogIndex(3)));
        }
}

TEST_CASE("a flipped bit is not mistaken for a torn tail at any end of the last record")
{
    for (std::size_t size = 0; size < 600; ++size) {
        CAPTURE(size);
        FakeStorage storage;
        const std::size_t before = [&] {
            auto store = LogStore::open(storage, newMember);
            REQUIRE(store->append(LogIndex(1), { entry(1, std::string(size, 'a')) }));
            const std::size_t written = storage.read("log-00000001")->size();
            REQUIRE(store->append(LogIndex(2), { { Term(1) } }));
            return written;
        }();
        const std::size_t end = storage.read("log-00000001")->size();
        for (std::size_t offset = before; offset < end; ++offset) {
            CAPTURE(offset);
            FakeStorage flipped = storage;
            flipped.flipBit("log-00000001", offset, 3);
            REQUIRE_FALSE(LogStore::open(flipped, newMember));
        }
    }
}

TEST_CASE("a torn first record of a file is truncated")
{
    for (std::uint64_t seed = 0; seed < 64; ++seed) {
        CAPTURE(seed);
        FakeStorage storage;
        {
            auto store = LogStore::open(storage, newMember);
            storage.stopAt(2, StopPoint::Before);
            REQUIRE_FALSE(store->append(LogIndex(1), { entry(1, std::string(2000, 'a')) }));
        }
        Random random(seed);
        storage.crashInSectors(random);
        const auto store = LogStore::open(storage, newMember);
        if (!store)
            FAIL(store.error().message);
        REQUIRE(store->lastIndex() <= LogIndex(1));
    }
}
