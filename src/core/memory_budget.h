#pragma once

#include "core/units.h"

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace buckthornford {

/// Bounds the memory of values that arrive from outside, all of them together. Only one thread may
/// use it.
class MemoryBudget
{
public:
    explicit MemoryBudget(Bytes limit)
        : m_limit(limit)
    {}

    Bytes held() const { return Bytes{m_held}; }
    std::uint64_t refusedCount() const { return m_refused; }

private:
    friend class HeldMemory;
    Bytes m_limit;
    std::uint64_t m_held = 0;
    std::uint64_t m_refused = 0; ///< calls of HeldMemory::grow() that failed
};

/// The part of a budget that one value holds.
class HeldMemory
{
public:
    /// No budget bounds the value if \a budget is null.
    explicit HeldMemory(std::shared_ptr<MemoryBudget> budget)
        : m_budget(std::move(budget))
    {}
    HeldMemory(HeldMemory &&other) noexcept
        : m_budget(std::move(other.m_budget))
        , m_size(std::exchange(other.m_size, 0))
    {}
    HeldMemory &operator=(HeldMemory &&other) noexcept
    {
        std::swap(m_budget, other.m_budget);
        std::swap(m_size, other.m_size);
        return *this;
    }
    ~HeldMemory()
    {
        if (m_budget)
            m_budget->m_held -= m_size;
    }

    /// Makes the part at least \a size. Returns false, and changes nothing, if the budget would be
    /// exceeded; a value that is the only one may have any size.
    bool grow(Bytes size)
    {
        if (!m_budget || size.value() <= m_size)
            return true;
        const std::uint64_t others = m_budget->m_held - m_size;
        if (others > 0 && others + size.value() > m_budget->m_limit.value()) {
            ++m_budget->m_refused;
            return false;
        }
        m_budget->m_held = others + size.value();
        m_size = size.value();
        return true;
    }

private:
    std::shared_ptr<MemoryBudget> m_budget;
    std::uint64_t m_size = 0;
};

/// Returns \a bytes as a value that shares its memory, and \a memory, with its copies: the memory
/// is held until the last of them is gone.
inline std::shared_ptr<const std::string> shareHeld(std::string bytes, HeldMemory memory)
{
    struct Held
    {
        std::string bytes;
        HeldMemory memory;
    };
    const auto held = std::make_shared<const Held>(Held{std::move(bytes), std::move(memory)});
    return {held, &held->bytes};
}

} // namespace buckthornford
