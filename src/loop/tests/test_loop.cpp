#define BOOST_TEST_MODULE loop
#include "loop/loop.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornford;

namespace {

class CountingTask : public LoopTask<int>
{
public:
    using LoopTask::LoopTask;
    int handled = 0;

protected:
    void handle(int &&, TimePoint) override { ++handled; }
    TimePoint tick(TimePoint now) override { return now + std::chrono::hours(1); }
};

} // namespace

// A node that stops must not take a task with an unhandled message for idle.
BOOST_AUTO_TEST_CASE(aMessageCountsUntilItIsHandled)
{
    EventLoop loop{1};
    CountingTask task(&loop);
    BOOST_TEST(!task.hasMessages());
    task.post(1);
    BOOST_TEST(task.hasMessages());
    loop.poll();
    BOOST_TEST(task.handled == 1);
    BOOST_TEST(!task.hasMessages());
}
