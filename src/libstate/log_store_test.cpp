#include <catch2/catch.hpp>

#include <laburnumroute/log_store.h>

#include "fakes/fake_storage.h"

using namespace laburnum;
using namespace laburnum::fakes;

namespace {

const MemberId fresh("m1");

LogEntry entry(std::uint64_t term, const std::string& command)
{
    return { Term(term), EntryKind::Command, command };
}

/// What a store has promised to hold.
struct Promised {
    Vote vote;
    LogIndex snapshotIndex;
    std::vector<LogEntry> entries; // from index 1 on
};

/// A fixed run over every kind of write. Stops at the first failure. `promised` follows what
/// succeeded; `attempted` is one step ahead.
void runSteps(LogStore& store, Promised& promised, Promised& attempted)
{
    const auto step = [&](const Expected<void>& result) {
        if (result)
            promised = attempted;
        return result.has_value();
    };
    const auto append = [&](std::size_t first, const std::vector<LogEntry>& entries) {
        attempted.entries.resize(first - 1);
        attempted.entries.insert(attempted.entries.end(), entries.begin(), entries.end());
        return step(store.append(LogIndex(first), entries));
    };
    const auto vote = [&](std::uint64_t term, const char* whom) {
        attempted.vote = { Term(term), MemberId(whom) };
        return step(store.saveVote(attempted.vote));
    };
    const auto snapshot = [&](std::uint64_t index, std::uint64_t base) {
        attempted.snapshotIndex = LogIndex(index);
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

/// Whether `store` holds exactly `expected`, as far as it still keeps entries.
bool holds(const LogStore& store, const Promised& expected)
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
    auto store = LogStore::open(storage, fresh);
    Promised promised;
    Promised attempted;
    runSteps(*store, promised, attempted);
    REQUIRE(holds(*store, promised));
    return storage.operations();
}

} // namespace

TEST_CASE("a store that dies in any write operation comes back with what it promised")
{
    const unsigned operations = countOperations();
    REQUIRE(operations > 20);
    for (const StopPoint point : { StopPoint::Before, StopPoint::Half, StopPoint::After })
        for (unsigned operation = 1; operation <= operations; ++operation)
            for (std::uint64_t seed = 0; seed < 6; ++seed) {
                CAPTURE(static_cast<int>(point), operation, seed);
                FakeStorage storage;
                storage.stopAt(operation, point);
                Promised promised;
                Promised attempted;
                if (auto store = LogStore::open(storage, fresh))
                    runSteps(*store, promised, attempted);
                Random random(seed);
                seed % 3 == 0
                    ? storage.resume()
                    : (seed % 3 == 1 ? storage.crash(random) : storage.crashInSectors(random));
                {
                    const auto store = LogStore::open(storage, fresh);
                    if (!store)
                        FAIL(store.error().message);
                    REQUIRE((holds(*store, promised) || holds(*store, attempted)));
                }
                // What was read once stays, also when the power fails now.
                const auto before = LogStore::open(storage, fresh);
                storage.crash();
                const auto after = LogStore::open(storage, fresh);
                REQUIRE(after);
                REQUIRE(after->lastIndex() == before->lastIndex());
                REQUIRE(after->vote() == before->vote());
            }
}

TEST_CASE("a disk that pretends to sync loses what it promised: the check above can fail")
{
    FakeStorage storage;
    auto store = LogStore::open(storage, fresh);
    storage.ignoreSyncs(true);
    REQUIRE(store->append(LogIndex(1), { entry(1, "a") }));
    storage.crash();
    REQUIRE(LogStore::open(storage, fresh)->lastIndex() == LogIndex(0));
}

TEST_CASE("every flipped bit is refused, naming file and offset")
{
    FakeStorage whole;
    {
        auto store = LogStore::open(whole, fresh);
        REQUIRE(store->saveVote({ Term(2), MemberId("m2") }));
        REQUIRE(store->append(LogIndex(1), { entry(1, "a"), entry(2, "bc") }));
        REQUIRE(store->append(LogIndex(3), { entry(2, "def") }));
        REQUIRE(store->saveSnapshot({ LogIndex(2), Term(2), {}, "state" }, LogIndex(1)));
    }
    const auto names = whole.list();
    REQUIRE(names->size() == 4);
    for (const auto& name : *names) {
        const std::size_t size = whole.read(name)->size();
        for (std::size_t offset = 0; offset < size; ++offset)
            for (unsigned bit = 0; bit < 8; ++bit) {
                CAPTURE(name, offset, bit);
                FakeStorage storage = whole;
                storage.flipBit(name, offset, bit);
                const auto opened = LogStore::open(storage, fresh);
                REQUIRE_FALSE(opened);
                REQUIRE(opened.error().code == ErrorCode::Corrupt);
                REQUIRE(opened.error().message.find("'" + name + "'") != std::string::npos);
                REQUIRE(opened.error().message.find("offset") != std::string::npos);
            }
    }
}

TEST_CASE("every missing file of a folder in use is refused")
{
    FakeStorage whole;
    auto store = LogStore::open(whole, fresh);
    const std::string large(1100UL * 1024, 'x'); // fills a segment
    REQUIRE(store->append(LogIndex(1), { entry(1, large) }));
    REQUIRE(store->append(LogIndex(2), { entry(1, "b") }));
    REQUIRE(store->append(LogIndex(3), { entry(1, large) }));
    REQUIRE(store->append(LogIndex(4), { entry(1, "c") }));
    for (const char* name : { "identity", "vote", "log-00000001", "log-00000002" }) {
        CAPTURE(name);
        FakeStorage storage = whole;
        REQUIRE(storage.remove(name));
        const auto opened = LogStore::open(storage, fresh);
        REQUIRE_FALSE(opened);
        REQUIRE(opened.error().code == ErrorCode::Corrupt);
    }
}

TEST_CASE("a store refuses to write after a failed write or sync until it is opened again")
{
    FakeStorage storage;
    auto store = LogStore::open(storage, fresh);
    REQUIRE(store->append(LogIndex(1), { entry(1, "a") }));
    SECTION("failed sync") { storage.failSyncs(1); }
    SECTION("full disk") { storage.failWrites(1); }
    REQUIRE_FALSE(store->append(LogIndex(2), { entry(1, "b") }));
    REQUIRE(store->failure());
    REQUIRE_FALSE(store->append(LogIndex(2), { entry(1, "b") }));
    REQUIRE_FALSE(store->saveVote({ Term(9), fresh }));
    store = LogStore::open(storage, fresh);
    REQUIRE(store->append(next(store->lastIndex()), { entry(1, "c") }));
    const LogIndex last = store->lastIndex();
    storage.crash();
    REQUIRE(LogStore::open(storage, fresh)->lastIndex() == last);
}

TEST_CASE("an emptied folder gets the new identity, a kept one its own")
{
    FakeStorage storage;
    REQUIRE(LogStore::open(storage, MemberId("a"))->member() == MemberId("a"));
    REQUIRE(LogStore::open(storage, MemberId("b"))->member() == MemberId("a"));
    storage.eraseAll();
    REQUIRE(LogStore::open(storage, MemberId("b"))->member() == MemberId("b"));
}

TEST_CASE("an installed snapshot replaces a log that does not fit, also across a crash")
{
    FakeStorage storage;
    auto store = LogStore::open(storage, fresh);
    REQUIRE(store->append(LogIndex(1), { entry(1, "a"), entry(1, "b"), entry(1, "stale") }));
    REQUIRE(store->installSnapshot({ LogIndex(2), Term(5), {}, "state" }));
    REQUIRE(store->lastIndex() == LogIndex(2));
    REQUIRE(store->lastTerm() == Term(5));
    REQUIRE(store->append(LogIndex(3), { entry(5, "c") }));
    storage.crash();
    store = LogStore::open(storage, fresh);
    REQUIRE(store->lastIndex() == LogIndex(3));
    REQUIRE(store->at(LogIndex(3)).command == "c");
}

TEST_CASE("a torn tail is cut wherever its record lies in the sectors")
{
    for (std::size_t size = 0; size < 1100; size += 7)
        for (std::uint64_t seed = 0; seed < 8; ++seed) {
            CAPTURE(size, seed);
            FakeStorage storage;
            {
                auto store = LogStore::open(storage, fresh);
                REQUIRE(store->append(LogIndex(1), { entry(1, std::string(size, 'a')) }));
                storage.stopAt(2, StopPoint::Before); // the append ends, its sync does not
                REQUIRE_FALSE(
                    store->append(LogIndex(2), { entry(1, std::string(size, 'b')), { Term(1) } }));
            }
            Random random(seed);
            storage.crashInSectors(random);
            const auto store = LogStore::open(storage, fresh);
            if (!store)
                FAIL(store.error().message);
            REQUIRE((store->lastIndex() == LogIndex(1) || store->lastIndex() == LogIndex(3)));
        }
}

TEST_CASE("a flipped bit is not taken for a torn tail wherever the last record ends")
{
    for (std::size_t size = 0; size < 600; ++size) {
        CAPTURE(size);
        FakeStorage storage;
        const std::size_t before = [&] {
            auto store = LogStore::open(storage, fresh);
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
            REQUIRE_FALSE(LogStore::open(flipped, fresh));
        }
    }
}

TEST_CASE("a torn first record of a file is cut")
{
    for (std::uint64_t seed = 0; seed < 64; ++seed) {
        CAPTURE(seed);
        FakeStorage storage;
        {
            auto store = LogStore::open(storage, fresh);
            storage.stopAt(2, StopPoint::Before);
            REQUIRE_FALSE(store->append(LogIndex(1), { entry(1, std::string(2000, 'a')) }));
        }
        Random random(seed);
        storage.crashInSectors(random);
        const auto store = LogStore::open(storage, fresh);
        if (!store)
            FAIL(store.error().message);
        REQUIRE(store->lastIndex() <= LogIndex(1));
    }
}
