#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace buckthornford {

/// Bytes that don't change and that all copies share, such as the body of a request: it may have
/// many megabytes, and several steps of its way need it.
class SharedBytes
{
public:
    SharedBytes() = default;
    SharedBytes(std::string bytes)
        : m_storage(std::make_shared<const std::string>(std::move(bytes)))
        , m_size(m_storage->size())
    {}
    SharedBytes(const char *text)
        : SharedBytes(std::string(text))
    {}

    /// The bytes of \a storage from \a offset to its end.
    SharedBytes(std::shared_ptr<const std::string> storage, std::size_t offset)
        : m_storage(std::move(storage))
        , m_offset(offset)
        , m_size(m_storage->size() - offset)
    {}

    std::string_view view() const
    {
        return m_storage ? std::string_view(*m_storage).substr(m_offset, m_size)
                         : std::string_view();
    }
    const char *data() const { return view().data(); }
    std::size_t size() const { return m_size; }
    bool empty() const { return m_size == 0; }

    friend bool operator==(const SharedBytes &a, const SharedBytes &b)
    {
        return a.view() == b.view();
    }

private:
    std::shared_ptr<const std::string> m_storage;
    std::size_t m_offset = 0;
    std::size_t m_size = 0;
};

} // namespace buckthornford
