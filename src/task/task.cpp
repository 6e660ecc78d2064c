#include "task/task.h"
