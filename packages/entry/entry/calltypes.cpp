#include "entry/calltypes.h"
