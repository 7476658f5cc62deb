"""A small valid settings file, and a base class for tests."""

import os
import tempfile

import testtools

VALID_SETTINGS = """\
[instance]
name = entry-1
data_centre = milan
caller_address = 127.0.0.1:8001
admin_address = 127.0.0.1:8002
peer_address = 127.0.0.1:8003

[platform]
address = 127.0.0.1:9000

[policy]
heartbeat_ms = 250

[rank urgent]
floor = 0.5

[model m]
layers = 4

[endpoint a]
address = 127.0.0.1:9001
data_centre = milan
accelerator = gpu
model = m
first_layer = 0
end_layer = 2
max_streams = 8

[endpoint b]
address = 127.0.0.1:9002
data_centre = monza
accelerator = gpu
model = m
first_layer = 2
end_layer = 4
max_streams = 8

[service orders]
addresses = 127.0.0.1:7001, 127.0.0.1:7002
lookup = yes

[organisation studio]

[key studio-urgent]
organisation = studio
rank = urgent
sha256 = 2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae

[operator desk]
role = operate
sha256 = fcde2b2edba56bf408601fb721fe9b5c338d10ee429ea04fae5511b68fbf8fb9

[link milan monza]
latency_us = 250
mbit_per_s = 1000

[peer entry-2]
address = 127.0.0.1:8103
data_centre = monza
"""


class SettingsTestCase(testtools.TestCase):
    """Writes settings files that are removed after the test."""

    def write_file(self, text):
        handle, path = tempfile.mkstemp(suffix='.ini')
        self.addCleanup(os.unlink, path)
        with open(handle, 'w', encoding='utf-8') as file:
            file.write(text)
        return path
