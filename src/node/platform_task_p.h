#pragma once

#include "node/messages_p.h"
#include "platform/platform.h"

#include <functional>
#include <optional>

namespace buckthornford {

/// The task that reads and changes the configuration in the platform's table.
class PlatformTask : public Task<PlatformMessage>
{
public:
    using Listener = std::function<void(ConfigurationArrived)>;

    /// \a endpoint may be empty: then every change is refused.
    PlatformTask(const std::optional<Endpoint> &endpoint, Duration spread, Listener listener);
    ~PlatformTask() override;

protected:
    void handle(PlatformMessage &&message, TimePoint now) override;
    TimePoint tick(TimePoint now) override;

private:
    void on(ReaderChosen &&message, TimePoint now);
    void on(ChangeWanted &&message, TimePoint now);

    /// What the table holds; revision 0 if there is no configuration yet.
    struct Stored
    {
        std::optional<Configuration> configuration;
        std::uint64_t version = 0;
    };

    Result<Stored> readStored();
    Result<ChangeOutcome> tryChange(const Change &change);
    Result<std::optional<ChangeOutcome>> findEarlier(const Change &change);
    void learn(const Configuration &configuration);

    std::optional<TableClient> m_table;
    Duration m_spread;
    Listener m_listener;
    bool m_isReader = true;
    Revision m_known;
    TimePoint m_nextPoll;
};

} // namespace buckthornford
