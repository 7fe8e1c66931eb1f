#include "text_delta_pvt.h"

#include <unordered_map>
#include <vector>

#include "codec_pvt.h"

namespace laburnum::pvt {

namespace {

    /// New text, followed by `count` pieces of the base from `first` on.
    struct DeltaStep {
        std::string text;
        std::uint32_t first = 0;
        std::uint32_t count = 0;

        MSGPACK_DEFINE(text, first, count)
    };

    struct Delta {
        static constexpr std::uint8_t type = 1;
        std::vector<DeltaStep> steps;
        /// Size of the resulting text in bytes.
        std::uint64_t size = 0;

        MSGPACK_DEFINE(steps, size)
    };

    std::vector<std::string_view> piecesOf(std::string_view text)
    {
        std::vector<std::string_view> pieces;
        while (!text.empty()) {
            const std::size_t brace = text.find('}');
            const std::size_t length = brace == std::string_view::npos ? text.size() : brace + 1;
            pieces.push_back(text.substr(0, length));
            text.remove_prefix(length);
        }
        return pieces;
    }

    class DeltaBuilder {
    public:
        explicit DeltaBuilder(std::string_view base)
            : m_base(piecesOf(base))
        {
            for (std::uint32_t i = 0; i < m_base.size(); ++i)
                m_index.try_emplace(m_base[i], i);
        }

        Delta build(std::string_view text)
        {
            m_delta.size = text.size();
            m_delta.steps.emplace_back();
            for (const std::string_view piece : piecesOf(text))
                add(piece);
            return std::move(m_delta);
        }

    private:
        void add(std::string_view piece)
        {
            DeltaStep* step = &m_delta.steps.back();
            const std::uint64_t next = std::uint64_t { step->first } + step->count;
            if (step->count > 0 && next < m_base.size() && m_base[next] == piece) {
                ++step->count;
                return;
            }
            if (step->count > 0)
                step = &m_delta.steps.emplace_back();
            if (const auto found = m_index.find(piece); found != m_index.end()) {
                step->first = found->second;
                step->count = 1;
            } else {
                step->text += piece;
            }
        }

        std::vector<std::string_view> m_base;
        std::unordered_map<std::string_view, std::uint32_t> m_index;
        Delta m_delta;
    };

} // namespace

std::string encodeDelta(std::string_view text, std::string_view base)
{
    return deflateText(pack(DeltaBuilder(base).build(text)), base);
}

Expected<std::string> decodeDelta(std::string_view bytes, std::string_view base, std::size_t limit)
{
    const auto packed = inflateText(bytes, base, limit);
    if (!packed)
        return tl::unexpected<Error>(packed.error());
    const auto delta = unpack<Delta>(*packed);
    if (!delta || delta->size > limit)
        return fail(ErrorCode::Corrupt, "the difference between two texts is damaged");
    const auto pieces = piecesOf(base);
    std::string text;
    text.reserve(delta->size);
    for (const DeltaStep& step : delta->steps) {
        const std::uint64_t end = std::uint64_t { step.first } + step.count;
        if (end > pieces.size())
            return fail(ErrorCode::Corrupt, "the difference belongs to another text");
        text += step.text;
        for (std::uint64_t i = step.first; i < end && text.size() <= delta->size; ++i)
            text += pieces[i];
    }
    if (text.size() != delta->size)
        return fail(ErrorCode::Corrupt, "the difference belongs to another text");
    return text;
}

} // namespace laburnum::pvt
