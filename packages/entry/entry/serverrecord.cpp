#include "entry/serverrecord.h"
