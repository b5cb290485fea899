"""The lab: the real decisions in simulated time, or real balancers under the same load, measured.

A tool beside the balancer, which never imports it. See docs/design/lab.md and docs/operate/lab.md.
"""
